#include "test/support/gossip_network.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using membership::event_kind;
using membership::member_status;
using membership::payload_kind;
using test_support::gossip_network;
using test_support::network_faults;

constexpr network_faults lossy{0.3, 0.1, 1ms, 60ms};
constexpr std::size_t per_domain = 7;
constexpr std::size_t domains = 3;

/// Three failure domains of seven members each, today's size three times.
struct domains_fixture {
    gossip_network net{11, lossy};

    domains_fixture() {
        for (std::size_t domain = 0; domain < domains; ++domain) {
            net.start_many(per_domain, name(domain), name(domain), {0, 1, 2});
        }
        REQUIRE(net.run_until([&] { return net.is_agreed(); }, 60s));
    }

    static std::string name(std::size_t domain) {
        return std::string(1, static_cast<char>('a' + domain));
    }
    static std::size_t domain_of(std::size_t index) { return index / per_domain; }

    bool all(const std::function<bool(const membership::gossip_state&)>& holds) const {
        for (const auto& entry : net.nodes) {
            if (entry->is_running && !holds(entry->state)) {
                return false;
            }
        }
        return true;
    }
    void set(std::size_t index, payload_kind kind, const std::string& key, std::uint64_t version,
             const std::string& value) {
        membership::set_payload(net.nodes[index]->state, {kind, key, version, value}, net.now());
    }
};

} // namespace

TEST_CASE_FIXTURE(domains_fixture, "leaving server, told by one, known everywhere within 3 s") {
    set(4, payload_kind::leaving_backend, "engine", 5, "");
    CHECK(net.run_until(
        [&] {
            return all([](const auto& state) {
                return is_leaving_backend(state, backend_id{"engine"}, incarnation{5});
            });
        },
        3s));
    CHECK(all([](const auto& state) {
        return !is_leaving_backend(state, backend_id{"engine"}, incarnation{6});
    }));
    set(9, payload_kind::leaving_backend, "engine", 4, "");
    net.run_for(3s);
    CHECK(all([](const auto& state) {
        return is_leaving_backend(state, backend_id{"engine"}, incarnation{5});
    }));
}

TEST_CASE_FIXTURE(domains_fixture, "configuration revision, published at one, highest wins") {
    set(0, payload_kind::configuration_revision, "", 41, "");
    set(15, payload_kind::configuration_revision, "", 42, "");
    CHECK(net.run_until(
        [&] {
            return all([](const auto& state) {
                const auto* row = find_payload(state, payload_kind::configuration_revision, "");
                return row != nullptr && row->held.version == 42;
            });
        },
        9s));
}

TEST_CASE_FIXTURE(domains_fixture, "cell digests, renewed each second, stay within their domain") {
    for (std::uint64_t version = 1; version <= 20; ++version) {
        set(2, payload_kind::cell_digest, "cell", version, "load");
        net.run_for(1s);
    }
    std::size_t recent = 0;
    for (std::size_t index = 0; index < net.nodes.size(); ++index) {
        const auto* row = find_payload(net.nodes[index]->state, payload_kind::cell_digest, "cell");
        CHECK((row == nullptr || domain_of(index) == 0));
        recent += row != nullptr && row->held.version >= 17 ? 1 : 0;
    }
    CHECK(recent == per_domain);
}

TEST_CASE_FIXTURE(domains_fixture, "domain cut off, noticed by all, and healed with its news") {
    net.is_cut = [](std::size_t from, std::size_t to) {
        return (domain_of(from) == 2) != (domain_of(to) == 2);
    };
    CHECK(net.run_until(
        [&] {
            return all([&](const auto& state) {
                const bool is_inside = state.self.domain == domain_id{"c"};
                return is_cut_off(state, domain_id{is_inside ? "a" : "c"}, net.now());
            });
        },
        15s));
    CHECK(net.count_events(event_kind::died) == 0);
    set(20, payload_kind::leaving_backend, "engine", 1, "");
    net.kill(19);
    net.run_for(10s);
    net.is_cut = nullptr;
    CHECK(net.run_until(
        [&] {
            return net.is_agreed() && all([&](const auto& state) {
                       const bool is_inside = state.self.domain == domain_id{"c"};
                       return is_leaving_backend(state, backend_id{"engine"}, incarnation{1}) &&
                              !is_cut_off(state, domain_id{is_inside ? "a" : "c"}, net.now());
                   });
        },
        30s));
}

TEST_CASE_FIXTURE(domains_fixture,
                  "partition inside a domain, both halves dead, joined on healing") {
    net.is_cut = [](std::size_t from, std::size_t to) { return (from < 4) != (to < 4); };
    net.run_for(20s);
    CHECK(net.status(0, 5) == member_status::dead);
    CHECK(net.status(5, 0) == member_status::dead);
    net.is_cut = nullptr;
    CHECK(net.run_until([&] { return net.is_agreed(); }, 30s));
}

TEST_CASE_FIXTURE(domains_fixture, "all VMs replaced within minutes, one group, values kept") {
    set(0, payload_kind::configuration_revision, "", 7, "");
    net.run_for(5s);
    const std::size_t first_generation = net.nodes.size();
    for (std::size_t index = 0; index < first_generation; ++index) {
        net.start("new" + std::to_string(index), name(domain_of(index)), {index});
        net.run_for(3s);
        net.kill(index);
        net.run_for(1s);
    }
    CHECK(net.run_until([&] { return net.is_agreed(); }, 30s));
    CHECK(all([](const auto& state) {
        const auto* row = find_payload(state, payload_kind::configuration_revision, "");
        return row != nullptr && row->held.version == 7;
    }));
}

TEST_CASE_FIXTURE(domains_fixture, "leaving member, announced, takes no new work and is watched") {
    membership::announce_leaving(net.nodes[1]->state);
    const auto is_known = [&] {
        return all([&](const auto& state) {
            return state.self.id == daemon_id{"a1"} ||
                   (membership::working_members(state, domain_id{"a"}, net.now()).size() ==
                        per_domain - 1 &&
                    membership::live_members(state, domain_id{"a"}, net.now()).size() ==
                        per_domain);
        });
    };
    CHECK(net.run_until(is_known, 3s));
    net.freeze(1, 3s);
    net.run_for(8s);
    CHECK(is_known());
}

TEST_CASE("bridges, same members seen from both sides, are the same") {
    const std::vector<daemon_id> members{daemon_id{"x"}, daemon_id{"y"}, daemon_id{"z"}};
    const std::vector<daemon_id> shuffled{daemon_id{"z"}, daemon_id{"x"}, daemon_id{"y"}};
    const auto chosen = membership::choose_bridges(domain_id{"a"}, domain_id{"b"}, members);
    CHECK(chosen.size() == membership::bridge_count);
    CHECK(chosen == membership::choose_bridges(domain_id{"a"}, domain_id{"b"}, shuffled));
}
