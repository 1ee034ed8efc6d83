#include "src/serving/backend_directory.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;
using serving::takes_work;

struct directory_fixture {
    serving::backend_directory directory;
    backend_id first{"s1"};
    backend_id second{"s2"};
    service_id portal{"portal"};
    domain_id near{"a"};

    directory_fixture() { apply(1, {{"s1", "a"}, {"s2", "b"}}); }

    void apply(std::uint64_t accepted,
               const std::vector<std::pair<std::string, std::string>>& servers, int port = 8000) {
        settings::service described;
        described.name = portal;
        described.kind = settings::service_kind::plain;
        for (const auto& [name, domain] : servers) {
            const std::string address = "127.0.0.1:" + std::to_string(port++);
            described.backends.push_back(
                {backend_id{name}, address, backend_role::plain, domain_id{domain}});
        }
        auto services = std::make_shared<serving::service_map>();
        services->emplace(portal, described);
        directory.apply(revision{accepted}, services);
    }

    void report(const backend_id& id, std::uint64_t started, bool is_leaving = false) {
        engines::load_report load;
        load.started = incarnation{started};
        load.is_leaving = is_leaving;
        directory.note_load(id, load, time_point{});
    }

    bool takes(const backend_id& id) const { return takes_work(directory.backend(id).value()); }

    std::string pick(const std::vector<backend_id>& excluded = {}) {
        const auto picked = directory.begin_plain(portal, excluded, near);
        return picked ? picked->id.str() : "";
    }
};

} // namespace

TEST_CASE_FIXTURE(directory_fixture, "configuration, older or the same revision, is ignored") {
    apply(5, {{"s1", "a"}});
    apply(4, {{"s1", "a"}, {"s2", "b"}});
    apply(5, {{"s1", "a"}, {"s2", "b"}});
    CHECK(directory.configured() == revision{5});
    CHECK(directory.backends().size() == 1);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "configuration, newer with the same address, keeps what is known") {
    report(first, 7, true);
    apply(2, {{"s1", "a"}, {"s2", "b"}});
    CHECK(!takes(first));
}

TEST_CASE_FIXTURE(directory_fixture, "configuration, newer with another address, is a new server") {
    report(first, 7, true);
    apply(2, {{"s1", "a"}, {"s2", "b"}}, 9000);
    CHECK(takes(first));
}

TEST_CASE_FIXTURE(directory_fixture, "server, leaving reported, stays so until a new incarnation") {
    report(first, 7, true);
    CHECK(!takes(first));
    report(first, 7, false);
    CHECK(!takes(first));
    report(first, 8);
    CHECK(takes(first));
}

TEST_CASE_FIXTURE(directory_fixture, "server, report of an older incarnation, is ignored") {
    report(first, 8);
    report(first, 7, true);
    CHECK(takes(first));
}

TEST_CASE_FIXTURE(directory_fixture, "server, leaving noted twice, is news once") {
    report(first, 7);
    CHECK(directory.note_leaving(first, {}));
    CHECK(!directory.note_leaving(first, incarnation{7}));
    CHECK(!takes(first));
}

TEST_CASE_FIXTURE(directory_fixture,
                  "server, drained, comes back by order or by a new incarnation") {
    report(first, 7);
    CHECK(directory.drain(first, true));
    report(first, 7);
    CHECK(!takes(first));
    CHECK(directory.drain(first, false));
    CHECK(takes(first));
    CHECK(directory.drain(first, true));
    report(first, 8);
    CHECK(takes(first));
    CHECK(!directory.drain(backend_id{"unknown"}, true));
}

TEST_CASE_FIXTURE(directory_fixture, "server, unreachable, takes work again once it reports") {
    directory.note_unreachable(first);
    CHECK(!takes(first));
    report(first, 7);
    CHECK(takes(first));
}

TEST_CASE_FIXTURE(directory_fixture, "plain call, servers near and far, goes to the near one") {
    CHECK(pick() == "s1");
    CHECK(pick() == "s1");
    CHECK(pick({first}) == "s2");
    CHECK(pick({first, second}).empty());
}

TEST_CASE_FIXTURE(directory_fixture, "plain call, near server leaving, goes to the far one") {
    report(first, 7, true);
    CHECK(pick() == "s2");
}

TEST_CASE_FIXTURE(directory_fixture, "plain call, several near servers, goes to the least busy") {
    apply(2, {{"s1", "a"}, {"s2", "a"}});
    const std::string one = pick();
    const std::string other = pick();
    CHECK(one != other);
    directory.end_plain(backend_id{one});
    CHECK(pick() == one);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "plain call, ended more often than begun, is never counted below zero") {
    directory.end_plain(first);
    CHECK(directory.backend(first)->in_flight == 0);
}
