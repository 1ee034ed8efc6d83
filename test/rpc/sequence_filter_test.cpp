#include "cicadahatch/rpc"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;

struct filter_fixture {
    rpc::sequence_filter filter;
    daemon_id sender{"sender"};
};

} // namespace

TEST_CASE_FIXTURE(filter_fixture, "filter, repeated batch, is taken once") {
    CHECK(filter.take(sender, incarnation{1}, 5));
    CHECK_FALSE(filter.take(sender, incarnation{1}, 5));
    CHECK_FALSE(filter.take(sender, incarnation{1}, 4));
    CHECK(filter.take(sender, incarnation{1}, 9));
}

TEST_CASE_FIXTURE(filter_fixture, "filter, restarted sender, starts anew and shuts out the old") {
    CHECK(filter.take(sender, incarnation{1}, 5));
    CHECK(filter.take(sender, incarnation{2}, 1));
    CHECK_FALSE(filter.take(sender, incarnation{1}, 6));
    CHECK_FALSE(filter.admits(sender, incarnation{1}));
    CHECK(filter.admits(sender, incarnation{2}));
}

TEST_CASE_FIXTURE(filter_fixture, "filter, many senders, forgets the longest unused first") {
    CHECK(filter.take(sender, incarnation{1}, 5));
    for (std::size_t index = 0; index < rpc::max_remembered_senders; ++index) {
        CHECK(filter.take(daemon_id{std::to_string(index)}, incarnation{1}, 1));
        CHECK_FALSE(filter.take(sender, incarnation{1}, 5));
    }
    CHECK(filter.size() == rpc::max_remembered_senders);
    CHECK(filter.take(daemon_id{"0"}, incarnation{1}, 1));
}
