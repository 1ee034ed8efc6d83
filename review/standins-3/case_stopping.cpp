#include "review/standins-3/scene.hpp"

#include <atomic>

// Two of a zone's three daemons get SIGTERM, each with a stream in progress. Meanwhile a
// configuration moves the plain routes to another service, whose old servers report "draining".
// With one of three daemons in rotation, the platform uses all daemons of the zone.

namespace {

using namespace review;

constexpr milliseconds drain_bound = 2000ms;
constexpr milliseconds configuration_bound = 2000ms;
constexpr milliseconds stable_bound = 3000ms;
constexpr milliseconds between_terms = 1000ms;
constexpr milliseconds margin = 150ms;
constexpr unsigned long_stream_events = 70;
constexpr milliseconds event_gap = 90ms;

std::string configuration(std::uint64_t version, const std::string& plain_service) {
    json made = json::parse(test_support::sample_platform_configuration(version));
    for (json& route : made["routes"]) {
        if (route["service"] == "shop") {
            route["service"] = plain_service;
        } else {
            route["timeoutMs"] = 14000;
        }
    }
    json moved = made["services"][0];
    moved["name"] = "shop2";
    made["services"].push_back(moved);
    return made.dump();
}

/// Reads a stream to its end on a thread of its own.
class open_stream {
public:
    open_stream(record& log, const deployment::member& to)
        : reader_([&log, &to] {
              const caller asking{to.callers(), 8000ms};
              asking.send("POST /stream/x HTTP/1.1\r\nHost: t.example\r\nX-Cicadahatch-Attempt-Id: "
                          "stream-" +
                          to.name +
                          "\r\nX-Cicadahatch-Deadline-Ms: 14000\r\nX-Cicadahatch-Model: m\r\n"
                          "X-Cicadahatch-Token-Usage: 100,700\r\n"
                          "X-Cicadahatch-Prompt-Prefix: aa:50,bb:50\r\nContent-Length: 0\r\n"
                          "Connection: close\r\n\r\n");
              const std::string answer = asking.receive_all();
              log.write("stream through " + to.name + " ended " +
                        (answer.ends_with("0\r\n\r\n") ? "whole" : "cut"));
          }) {}
    open_stream(const open_stream&) = delete;
    open_stream& operator=(const open_stream&) = delete;
    open_stream(open_stream&&) = delete;
    open_stream& operator=(open_stream&&) = delete;
    ~open_stream() { reader_.join(); }

private:
    std::thread reader_;
};

void start(deployment& tested) {
    tested.stub.put("op/config", configuration(1, "shop"));
    for (const char* id : {"shop-1", "shop-2"}) {
        tested.stub.add_engine(id, "shop", "");
    }
    tested.stub.add_engine("shop2-1", "shop2", "");
    tested.stub.add_engine("p-1", "model", "prefill");
    tested.stub.add_engine("x-1", "model", "decode");
    test_support::engine_script script;
    script.events = long_stream_events;
    script.event_gap = event_gap;
    tested.stub.set_script("x-1", script);
    for (const char* name : {"front-1", "front-2", "front-3"}) {
        tested.start(tested.add(name, "a", association_limits(), association_bounds()));
    }
}

void stop(record& log, const deployment::member& row) {
    if (has_trouble()) {
        row.daemon->send_signal(SIGTERM);
        log.write("SIGTERM to " + row.name);
    }
}

/// Sends requests to all daemons of the zone, each over a new connection.
void send_requests(const deployment& tested, record& log) {
    for (int number = 0; number < 12; ++number) {
        for (const auto& row : tested.members) {
            const std::string id = row->name + "x" + std::to_string(number);
            const bool is_order = number % 2 == 0;
            const caller asking{row->callers()};
            asking.send(request_text(is_order ? "POST" : "GET",
                                     (is_order ? "/book/late-" : "/plain/late-") + id, id, 1500ms));
            const std::string answer = asking.receive_all();
            log.write("request " + id + " sent over a new connection, answered " +
                      (asking.is_connected() ? std::to_string(status_of(answer))
                                             : std::string{"no connection"}));
        }
        std::this_thread::sleep_for(40ms);
    }
}

/// \returns the number of late requests that ran at a server of the old service
int count_stale(const deployment& tested, record& log, steady::time_point acknowledged) {
    int stale = 0;
    for (const auto& row : tested.stub.seen()) {
        const bool is_late = row.target.find("/late-") != std::string::npos;
        if (!is_late || !row.engine.starts_with("shop-")) {
            continue;
        }
        ++stale;
        const auto since = std::chrono::duration_cast<milliseconds>(row.at - acknowledged);
        log.write(row.target + " ran at " + row.engine + " of the old service, " +
                  std::to_string(since.count()) + " ms after the acknowledgements");
    }
    return stale;
}

int play(record& log) {
    deployment tested;
    start(tested);
    if (!tested.wait_until_ready()) {
        return exit_not_run;
    }
    std::this_thread::sleep_for(stable_bound);
    const auto& members = tested.members;
    const open_stream first{log, *members[0]};
    const open_stream second{log, *members[1]};
    std::this_thread::sleep_for(300ms);
    const auto term_at = steady::now();
    stop(log, *members[0]);
    std::this_thread::sleep_until(term_at + between_terms);
    stop(log, *members[1]);
    std::this_thread::sleep_for(1200ms);
    tested.stub.put("op/config", configuration(2, "shop2"));
    const auto acknowledged = steady::now();
    log.write("version 2 acknowledged: plain routes move from shop to shop2");
    for (const char* id : {"shop-1", "shop-2"}) {
        tested.stub.set_state(id, "draining");
    }
    log.write("the servers of shop are draining: acknowledged");
    const auto in_touch_at = term_at + between_terms + stable_bound + margin;
    std::this_thread::sleep_until(
        std::max(in_touch_at, acknowledged + std::max(configuration_bound, drain_bound) + margin));
    send_requests(tested, log);
    const int stale = count_stale(tested, log, acknowledged);
    log.write(std::to_string(stale) + " requests ran at draining servers of the old service");
    return stale > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, play);
}
