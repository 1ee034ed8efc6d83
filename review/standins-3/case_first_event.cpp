#include "review/standins-3/scene.hpp"

#include <atomic>

// Moves of memory between model engines take long for a while, so that the first event of a stream
// comes 1.5 s after its request. The route's pause between events is 300 ms. The engine notices a
// closed channel as many servers do: by a write that fails.

namespace {

using namespace review;

constexpr milliseconds move_time = 1500ms;
constexpr milliseconds event_gap = 50ms;
constexpr milliseconds allowed_overlap = 400ms;
constexpr int streams = 2;

std::string configuration() {
    json made = json::parse(test_support::sample_platform_configuration(1));
    for (json& route : made["routes"]) {
        if (route["canResume"] == true) {
            route["timeoutMs"] = 14000;
            route["sloMs"] = 800;
            route["gapSloMs"] = 300;
        }
    }
    return made.dump();
}

test_support::engine_script script(milliseconds first_event_delay) {
    test_support::engine_script made;
    made.events = 10;
    made.event_gap = event_gap;
    made.first_event_delay = first_event_delay;
    return made;
}

/// Where and when a stream reached decode engines, in order.
std::vector<test_support::received_request> arrivals(const deployment& tested,
                                                     const std::string& id) {
    std::vector<test_support::received_request> found = tested.stub.seen();
    std::erase_if(found, [&id](const test_support::received_request& row) {
        return row.target != "/resume/" + id || row.engine == "p-1";
    });
    return found;
}

/// Waits until a condition holds, for five seconds at most.
/// \returns when it held
template <class Condition>
std::optional<steady::time_point> wait_for(Condition holds) {
    const auto until = steady::now() + 5s;
    while (steady::now() < until) {
        if (holds()) {
            return steady::now();
        }
        std::this_thread::sleep_for(1ms);
    }
    return std::nullopt;
}

void ask(record& log, const deployment::member& to, const std::string& id) {
    const caller asking{to.callers(), 6000ms};
    asking.send("POST /resume/" + id +
                " HTTP/1.1\r\nHost: t.example\r\nX-Cicadahatch-Attempt-Id: " + id +
                "\r\nX-Cicadahatch-Deadline-Ms: 14000\r\nX-Cicadahatch-Model: m\r\n"
                "X-Cicadahatch-Token-Usage: 100,100\r\nX-Cicadahatch-Prompt-Prefix: aa:50,bb:50\r\n"
                "Content-Length: 0\r\nConnection: close\r\n\r\n");
    const std::string answer = asking.receive_all();
    log.write("stream " + id + " answered " + std::to_string(status_of(answer)) +
              (answer.ends_with("0\r\n\r\n") ? ", whole" : ", cut"));
}

/// \returns whether two engines worked on the stream for longer than allowed
bool play_stream(deployment& tested, record& log, const std::string& id) {
    const milliseconds delay = has_trouble() ? move_time : 10ms;
    tested.stub.set_script("x-1", script(delay));
    tested.stub.set_script("x-2", script(delay));
    const std::size_t ended_before = tested.stub.aborted_requests();
    std::thread reader([&] { ask(log, *tested.members.front(), id); });
    bool is_broken = false;
    if (wait_for([&] { return !arrivals(tested, id).empty(); })) {
        const std::string first = arrivals(tested, id).front().engine;
        tested.stub.set_script(first == "x-1" ? "x-2" : "x-1", script(10ms));
        log.write("stream " + id + " reached " + first);
    }
    const bool has_second =
        has_trouble() && wait_for([&] { return arrivals(tested, id).size() > 1; }).has_value();
    if (has_second) {
        const auto second = arrivals(tested, id).back();
        const auto ended = wait_for([&] { return tested.stub.aborted_requests() > ended_before; });
        const auto overlap =
            std::chrono::duration_cast<milliseconds>(ended.value_or(steady::now()) - second.at);
        log.write("stream " + id + " was sent to " + second.engine +
                  " too; the engine before worked on it for " + std::to_string(overlap.count()) +
                  " ms more");
        is_broken = overlap > allowed_overlap;
    }
    reader.join();
    return is_broken;
}

int play(record& log) {
    deployment tested;
    tested.stub.put("op/config", configuration());
    tested.stub.add_engine("p-1", "model", "prefill");
    tested.stub.add_engine("x-1", "model", "decode");
    tested.stub.add_engine("x-2", "model", "decode");
    for (const char* name : {"front-1", "front-2"}) {
        tested.start(tested.add(name, "a", association_limits(), association_bounds()));
    }
    if (!tested.wait_until_ready()) {
        return exit_not_run;
    }
    std::this_thread::sleep_for(3500ms);
    int broken = 0;
    for (int number = 0; number < streams; ++number) {
        broken += play_stream(tested, log, "s" + std::to_string(number)) ? 1 : 0;
        std::this_thread::sleep_for(1500ms);
    }
    log.write(std::to_string(broken) + " streams were worked on by two engines at once");
    return broken > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, play);
}
