#include "cicadahatch/core"
#include "cicadahatch/rpc"
#include "src/rpc/internal/deflate.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;
using rpc::internal::batch_deflater;
using rpc::internal::batch_inflater;

constexpr std::uint64_t seed = 11;

struct deflate_fixture {
    batch_deflater deflater;
    batch_inflater inflater;
    random_source random{seed};

    std::string random_bytes(std::size_t count) {
        std::string bytes;
        for (std::size_t index = 0; index < count; ++index) {
            bytes += static_cast<char>(random.below(256));
        }
        return bytes;
    }

    static std::string release_of(std::uint64_t number) {
        const request_id request{"3f2a9c1e77b0" + std::to_string(number)};
        return rpc::encode_batch(
            {number, {rpc::release{request, attempt_number{1}, cell_id{"mrs-1/7"}, {}, 287, {}}}});
    }
};

} // namespace

TEST_CASE_FIXTURE(deflate_fixture, "deflate, batches of any size, come back whole and in order") {
    for (const std::size_t size : {1UL, 7UL, 2'047UL, 2'048UL, 2'049UL, 70'000UL, 1'400'000UL}) {
        CAPTURE(size);
        for (const std::string& bytes : {random_bytes(size), std::string(size, 'x')}) {
            const auto inflated = inflater.inflate(deflater.deflate(bytes));
            REQUIRE(inflated.has_value());
            CHECK(*inflated == bytes);
        }
    }
}

TEST_CASE_FIXTURE(deflate_fixture, "deflate, batches with the same names, take half the bytes") {
    std::size_t plain = 0;
    std::size_t compressed = 0;
    for (std::uint64_t number = 1; number <= 100; ++number) {
        const std::string bytes = release_of(number);
        const std::string sent = deflater.deflate(bytes);
        plain += bytes.size();
        compressed += sent.size();
        CHECK(inflater.inflate(sent).value() == bytes);
    }
    CHECK(compressed * 2 < plain);
}

TEST_CASE_FIXTURE(deflate_fixture, "inflate, small batch of endless content, is refused as large") {
    const std::string bomb = deflater.deflate(std::string(2 * rpc::max_batch_bytes, 'x'));
    CHECK(bomb.size() < 10'000);
    CHECK(inflater.inflate(bomb).error() == rpc::errc::too_large);
}

TEST_CASE_FIXTURE(deflate_fixture, "inflate, damaged or foreign bytes, never throws or overruns") {
    for (int round = 0; round < 2'000; ++round) {
        batch_deflater sender;
        batch_inflater receiver;
        std::string bytes = sender.deflate(release_of(1));
        bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        const auto inflated = receiver.inflate(round % 2 == 0 ? bytes : random_bytes(40));
        CHECK((!inflated || inflated->size() <= rpc::max_batch_bytes));
    }
    CHECK(inflater.inflate(std::string(100, '\xff')).error() == rpc::errc::malformed);
}
