#include "src/balancing/candidate_order.hpp"
#include "src/core/manual_clock.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::balancing;

struct server_pace_fixture {
    manual_clock time;
    server_pace pace;
    load_table loads;
    random_source random{7};
    std::vector<discovery::backend> servers;

    void add_server(const std::string& id) {
        discovery::backend server;
        server.id = backend_id{id};
        server.slots = 2;
        servers.push_back(server);
    }
    backend_load& load(const std::string& id) {
        return load_of(loads, backend_id{id}, incarnation{});
    }
    std::string choose() {
        candidate_list all;
        for (const discovery::backend& row : servers) {
            all.push_back(&row);
        }
        return sort_plain_servers(all, {loads, random, {}, time.now()}).front()->id.str();
    }
    int count_choices(const std::string& id, int choices) {
        int chosen = 0;
        for (int choice = 0; choice < choices; ++choice) {
            chosen += choose() == id ? 1 : 0;
        }
        return chosen;
    }
};

/// Many daemons before one server that has just started: requests that are at the server at once.
struct crowd_of_daemons {
    static constexpr int daemons = 80;
    static constexpr int slots = 6;
    static constexpr std::chrono::milliseconds service_time{15};

    /// \returns requests that the server refuses in its first second, as all its slots are taken
    static int refusals(bool starts_slowly) {
        manual_clock time;
        random_source random{11};
        std::array<server_pace, daemons> paces;
        std::vector<time_point> running;
        int refused = 0;
        if (starts_slowly) {
            for (server_pace& pace : paces) {
                begin_slow_start(pace, time.now());
            }
        }
        // 400 requests a second, what the server does once it is warm; ten times slower at first.
        constexpr int steps = 400;
        for (int step = 0; step < steps; ++step) {
            time.advance(2500us);
            std::erase_if(running, [&](time_point end) { return end <= time.now(); });
            server_pace& pace = paces.at(random.below(daemons));
            advance(pace, time.now());
            if (!random.chance(pace.fraction)) {
                continue; // goes to another server
            }
            if (running.size() >= slots) {
                ++refused;
                record_bad_answer(pace, time.now());
                continue;
            }
            const bool is_cold = step < steps / 4;
            running.push_back(time.now() + service_time * (is_cold ? 10 : 1));
            record_good_answer(pace, time.now());
        }
        return refused;
    }
};

} // namespace

TEST_CASE_FIXTURE(server_pace_fixture, "server_pace, proven server, keeps its whole share") {
    CHECK(pace.fraction == 1);
    record_bad_answer(pace, time.now());
    CHECK(pace.fraction == 1);
}

TEST_CASE_FIXTURE(server_pace_fixture, "server_pace, no bad answer, whole share after 750 ms") {
    begin_slow_start(pace, time.now());
    CHECK(pace.fraction == doctest::Approx(0.125));
    time.advance(749ms);
    advance(pace, time.now());
    CHECK(pace.fraction == doctest::Approx(0.5));
    time.advance(1ms);
    advance(pace, time.now());
    CHECK(pace.fraction == 1);
}

TEST_CASE_FIXTURE(server_pace_fixture, "server_pace, good answers, whole share after three") {
    begin_slow_start(pace, time.now());
    for (int answer = 0; answer < 3; ++answer) {
        record_good_answer(pace, time.now());
    }
    CHECK(pace.fraction == 1);
}

TEST_CASE_FIXTURE(server_pace_fixture, "server_pace, bad answers, smallest share ends by itself") {
    begin_slow_start(pace, time.now());
    for (int answer = 0; answer < 10; ++answer) {
        record_bad_answer(pace, time.now());
    }
    CHECK(pace.fraction == doctest::Approx(1.0 / 32));
    time.advance(1250ms);
    advance(pace, time.now());
    CHECK(pace.fraction == 1);
}

TEST_CASE_FIXTURE(server_pace_fixture,
                  "sort_plain_servers, one server starts slowly, it gets a part of its share") {
    add_server("new");
    add_server("old");
    begin_slow_start(load("new").pace, time.now());
    // Without the slow start it would be first in half of the choices.
    CHECK(count_choices("new", 1000) < 150);
    CHECK(count_choices("new", 1000) > 20);
}

TEST_CASE_FIXTURE(server_pace_fixture,
                  "sort_plain_servers, all others are full, slow start leaves no server idle") {
    add_server("new");
    add_server("old");
    begin_slow_start(load("new").pace, time.now());
    load("old").running = 2;
    CHECK(count_choices("new", 100) == 100);
}

TEST_CASE(
    "server_pace, many daemons turn to a new server, fewer of its first requests are refused") {
    const int at_once = crowd_of_daemons::refusals(false);
    const int slowly = crowd_of_daemons::refusals(true);
    CHECK(at_once > 30);
    CHECK(slowly < at_once / 2);
}
