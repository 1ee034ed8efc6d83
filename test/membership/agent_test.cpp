#include "cicadahatch/core"
#include "cicadahatch/membership"

#include <algorithm>
#include <condition_variable>
#include <doctest/doctest.h>
#include <map>
#include <mutex>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using membership::event_kind;

constexpr auto patience = 20s;

/// Three agents on loopback: two in one failure domain, one in another.
struct agents_fixture {
    cicadahatch::system_clock time_source;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::pair<std::string, membership::member_event>> events;
    std::vector<std::pair<std::string, rpc::message>> messages;
    std::map<std::string, std::unique_ptr<membership::agent>> agents;

    agents_fixture() {
        start("a1", "a", 1);
        start("a2", "a", 1);
        start("b1", "b", 1);
        wait([this] {
            return sees("a1", "a", 2) && sees("a2", "a", 2) && sees("a1", "b", 1) &&
                   sees("b1", "a", 2);
        });
    }

    ~agents_fixture() { agents.clear(); }
    agents_fixture(const agents_fixture&) = delete;
    agents_fixture& operator=(const agents_fixture&) = delete;
    agents_fixture(agents_fixture&&) = delete;
    agents_fixture& operator=(agents_fixture&&) = delete;

    void start(const std::string& name, const std::string& domain, std::uint64_t started) {
        std::vector<http::endpoint> seeds;
        if (!agents.empty()) {
            seeds.push_back(agents.begin()->second->self().place);
        }
        agents[name] =
            membership::agent_builder{}
                .named(daemon_id{name}, domain_id{domain}, incarnation{started})
                .listen_on({"127.0.0.1", 0})
                .secret("shared")
                .threads(8)
                .seeds(seeds)
                .timed_by(time_source)
                .on_event([this, name](const membership::member_event& event) {
                    note([&] { events.emplace_back(name, event); });
                })
                .on_message([this, name](rpc::delivery taken) {
                    note([&] { messages.emplace_back(name, std::move(taken.messages.front())); });
                })
                .build()
                .value();
    }

    template <class Change>
    void note(Change change) {
        const std::lock_guard lock{mutex};
        change();
        changed.notify_all();
    }

    template <class Condition>
    void wait(Condition condition) {
        const auto end = std::chrono::steady_clock::now() + patience;
        std::unique_lock lock{mutex};
        bool came = false;
        while (!came && std::chrono::steady_clock::now() < end) {
            lock.unlock();
            came = condition();
            lock.lock();
            if (!came) {
                changed.wait_for(lock, 20ms);
            }
        }
        REQUIRE(came);
    }

    bool sees(const std::string& who, const std::string& domain, std::size_t count) {
        return agents.at(who)->live_members(domain_id{domain}).size() == count;
    }

    bool has_event(const std::string& at, event_kind kind, const std::string& about) {
        const std::lock_guard lock{mutex};
        return std::any_of(events.begin(), events.end(), [&](const auto& entry) {
            return entry.first == at && entry.second.kind == kind &&
                   entry.second.record.id.str() == about;
        });
    }
};

} // namespace

TEST_CASE_FIXTURE(agents_fixture, "agents, message to a member, arrives at its handler only") {
    REQUIRE(agents.at("b1")->send(daemon_id{"a2"}, rpc::withdraw{request_id{"r"}, {}, {}}));
    wait([this] {
        const std::lock_guard lock{mutex};
        return !messages.empty();
    });
    CHECK(messages.front().first == "a2");
    CHECK(std::get<rpc::withdraw>(messages.front().second).request == request_id{"r"});
    CHECK(agents.at("b1")->send(daemon_id{"nobody"}, rpc::withdraw{}).error() ==
          membership::errc::unknown_member);
}

TEST_CASE_FIXTURE(agents_fixture, "agents, leaving backend server, known in all domains") {
    agents.at("a1")->announce_leaving_backend(backend_id{"engine"}, incarnation{7});
    wait([this] {
        return agents.at("b1")->is_leaving_backend(backend_id{"engine"}, incarnation{7});
    });
    CHECK_FALSE(agents.at("b1")->is_leaving_backend(backend_id{"engine"}, incarnation{8}));
}

TEST_CASE_FIXTURE(agents_fixture, "agents, one ends without a word, declared dead and forgotten") {
    agents.erase("a2");
    wait([this] { return has_event("a1", event_kind::died, "a2"); });
    wait([this] { return has_event("b1", event_kind::died, "a2"); });
    CHECK(sees("a1", "a", 1));
}

TEST_CASE_FIXTURE(agents_fixture, "agents, one leaves, gone at once without suspicion") {
    agents.at("a2")->leave();
    wait([this] { return has_event("a1", event_kind::left, "a2"); });
    CHECK_FALSE(has_event("a1", event_kind::suspected, "a2"));
}

TEST_CASE_FIXTURE(agents_fixture, "agents, restarted under its name, joins as a new incarnation") {
    agents.erase("a2");
    start("a2", "a", 2);
    wait([this] {
        const auto members = agents.at("b1")->live_members(domain_id{"a"});
        return members.size() == 2 && members.back().started == incarnation{2};
    });
    wait([this] { return sees("a2", "b", 1); });
}
