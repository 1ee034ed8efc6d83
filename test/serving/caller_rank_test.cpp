#include "src/serving/caller_rank.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;

struct rank_fixture {
    settings::service asked;
    http::request received;

    rank_fixture() {
        asked.rank_header = "X-Rank";
        asked.urgent_callers = {"known"};
    }

    rank with(const std::string& wanted, const std::string& authorization) {
        received.headers = {{"x-rank", wanted}};
        if (!authorization.empty()) {
            received.headers.push_back({"Authorization", authorization});
        }
        return serving::rank_of(asked, received);
    }
};

} // namespace

TEST_CASE_FIXTURE(rank_fixture, "rank, no header, is the service's default") {
    CHECK(serving::rank_of(asked, received) == rank::deferrable);
    asked.default_rank = rank::urgent;
    CHECK(serving::rank_of(asked, received) == rank::urgent);
}

TEST_CASE_FIXTURE(rank_fixture, "rank, urgent with a listed token, is urgent") {
    CHECK(with("urgent", "Bearer known") == rank::urgent);
}

TEST_CASE_FIXTURE(rank_fixture, "rank, urgent without a listed token, stays the default") {
    for (const char* token : {"", "Bearer other", "Bearer known ", "bearer known", "known"}) {
        INFO(token);
        CHECK(with("urgent", token) == rank::deferrable);
    }
}

TEST_CASE_FIXTURE(rank_fixture, "rank, deferrable asked of an urgent service, is deferrable") {
    asked.default_rank = rank::urgent;
    CHECK(with("deferrable", "") == rank::deferrable);
}

TEST_CASE_FIXTURE(rank_fixture, "rank, unknown name, is the service's default") {
    CHECK(with("highest", "Bearer known") == rank::deferrable);
}

TEST_CASE_FIXTURE(rank_fixture, "rank, service without a rank header, ignores what is asked") {
    asked.rank_header.clear();
    CHECK(with("urgent", "Bearer known") == rank::deferrable);
}
