#include "cicadahatch/membership"
#include "src/membership/constants.hpp"
#include "src/serving/digest_book.hpp"
#include "src/serving/digest_period.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using serving::cell_digest_limits;
using serving::digest_limits;
using serving::digest_period;
using serving::domain_digest_limits;

/// Bytes that a daemon sends when each cell's digest comes once a period.
double bytes_per_second(std::size_t cells, const digest_limits& limits) {
    scheduling::cell_digest digest;
    digest.id = cell_id{"mrs-1/pattern-8b/17"};
    digest.domain = domain_id{"mrs-1"};
    digest.model = model_id{"pattern-8b"};
    digest.predicted_wait = {1500ms, 1500ms};
    digest.typical_first_token = 300ms;
    const double bytes =
        static_cast<double>(digest.id.str().size() + serving::encode_digest(digest).size());
    const double period = std::chrono::duration<double>(digest_period(cells, limits)).count();
    return static_cast<double>(cells * membership::push_fanout) * bytes / period;
}

} // namespace

TEST_CASE("digest period, today's and the two-year number of cells, quick and then slower") {
    CHECK(digest_period(0, cell_digest_limits) == 500ms);
    CHECK(digest_period(5, cell_digest_limits) == 500ms);
    CHECK(digest_period(20, cell_digest_limits) < 2500ms);
    CHECK(digest_period(68, cell_digest_limits) > 5s);
    CHECK(digest_period(120, domain_digest_limits) == 15s);
}

TEST_CASE("digest period, growing number of cells, never shrinks and keeps the bytes bounded") {
    constexpr double tolerance = 1.2; // names differ in length
    duration last{0};
    for (std::size_t cells = 0; cells <= 100; ++cells) {
        CAPTURE(cells);
        const duration period = digest_period(cells, cell_digest_limits);
        CHECK(period >= last);
        CHECK(bytes_per_second(cells, cell_digest_limits) <
              cell_digest_limits.bytes_per_second * tolerance);
        last = period;
    }
}

TEST_CASE("digest period, any number of cells, renews a digest before it is forgotten") {
    for (const std::size_t cells : {1UL, 68UL, 100'000UL}) {
        CHECK(2 * digest_period(cells, cell_digest_limits) < membership::volatile_payload_kept);
        CHECK(2 * digest_period(cells, domain_digest_limits) <= membership::volatile_payload_kept);
    }
}
