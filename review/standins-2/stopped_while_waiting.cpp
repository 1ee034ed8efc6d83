/// \file
/// \brief Case 7: a machine is stopped while requests that it has read wait for a place.

#include "review/standins-2/deployment.hpp"

#include <csignal>
#include <cstdlib>
#include <future>
#include <iostream>
#include <thread>

namespace {

using namespace std::chrono_literals;
using namespace standins;
using std::chrono::steady_clock;

constexpr auto start_limit = 20s;
constexpr auto deadline = 14'000ms;
constexpr auto loss_slack = 200ms;
constexpr std::size_t slots = 2;
constexpr int waiting_requests = 3;
/// Streams of 88 events, 13 s: within the deadline of their route.
constexpr unsigned long long_output = 5400;
constexpr unsigned long short_output = 122;
constexpr auto ask_period = 1s;

/// The platform's ingress: it asks each machine once a second whether it is ready, and takes one
/// out after two misses.
class ingress {
public:
    explicit ingress(const router& asked) : asked_(asked) {}

    void ask() { misses_ = asked_.is_ready() ? 0 : misses_ + 1; }
    [[nodiscard]] bool has_in_rotation() const {
        constexpr int most_misses = 2;
        return misses_ < most_misses;
    }

private:
    const router& asked_;
    std::atomic<int> misses_{0};
};

received ask_stream(const router& entry, record& told, const std::string& path,
                    const std::string& id, const std::string& session, unsigned long tokens) {
    told.write("sent: ", id, " to ", entry.name());
    channel used{entry.front()};
    received seen = used.exchange(
        request_text(path, id, deadline, stream_fields(session, tokens), "prompt"), deadline + 1s);
    told.write("ended: ", id, " status ", seen.status, seen.is_whole ? ", whole" : ", not whole",
               seen.is_closed ? ", the channel was closed" : "", ", ",
               std::chrono::duration<double>(seen.ended_at - seen.sent_at).count(),
               " s after its last byte was sent, Retry-After ",
               value_in_head(seen.head, "Retry-After"));
    return seen;
}

/// LOST: the channel of a request that was read whole ends without an answer, and no engine was at
/// work on it.
bool is_lost(const received& seen, const std::vector<run>& runs, const std::string& id) {
    for (const run& row : runs) {
        if (row.request == id) {
            return false;
        }
    }
    return seen.is_closed && !seen.is_whole && seen.ended_at - seen.sent_at > loss_slack;
}

struct fleet {
    explicit fleet(const case_options& options) : given(options), told(options.record) {}

    const case_options& given;
    record told;
    store platform;
    run_book book;
    model_engine prefill_1{book, "i-p1", "prefill", slots};
    model_engine prefill_2{book, "i-p2", "prefill", slots};
    model_engine decode_1{book, "i-d1", "decode", slots};
    model_engine decode_2{book, "i-d2", "decode", slots};
    router stopped{given.program, given.folder, "front-plaine-verte-1", "plaine-verte"};
    router other{given.program, given.folder, "front-roche-bois-1", "roche-bois"};

    [[nodiscard]] bool start() {
        platform.put("op/config", sample_configuration());
        for (const model_engine* engine : {&prefill_1, &prefill_2, &decode_1, &decode_2}) {
            engine->enter(platform);
        }
        stopped.start(platform);
        other.start(platform);
        const bool is_ready =
            eventually([&] { return stopped.is_ready() && other.is_ready(); }, start_limit);
        constexpr std::size_t machines = 2;
        const bool is_known = eventually(
            [&] { return platform.count("cicadahatch/daemons/") == machines; }, start_limit);
        std::this_thread::sleep_for(1s);
        return is_ready && is_known;
    }
};

/// Ordinary streams take all places.
std::vector<std::future<received>> fill(fleet& all) {
    std::vector<std::future<received>> streams;
    for (std::size_t number = 0; number < 2 * slots; ++number) {
        const std::string id = "fill" + std::to_string(number);
        streams.push_back(std::async(std::launch::async, [&all, id] {
            return ask_stream(all.other, all.told, "/costing/x", id, id, long_output);
        }));
    }
    return streams;
}

/// A client that is refused, waits as it is told, and asks again on a new channel, which the
/// ingress gives to the machine that is being stopped while that is in rotation.
/// \returns whether the second request was lost
bool ask_twice(fleet& all, const ingress& platform, time_point not_before, int number) {
    const std::string session = "e4402b7" + std::to_string(number);
    const std::string id = "lace" + std::to_string(number);
    const received first =
        ask_stream(all.other, all.told, "/lace/x", id + "a", session, short_output);
    const double wait = std::strtod(value_in_head(first.head, "Retry-After").c_str(), nullptr);
    const auto told_until = first.ended_at + std::chrono::ceil<std::chrono::milliseconds>(
                                                 std::chrono::duration<double>{wait});
    std::this_thread::sleep_until(std::max(told_until, not_before));
    const router& entry = platform.has_in_rotation() ? all.stopped : all.other;
    const received again = ask_stream(entry, all.told, "/lace/x", id + "b", session, short_output);
    const bool is_found = is_lost(again, all.book.all(), id + "b");
    all.told.write(id, "b ", is_found ? "LOST: read whole, never at an engine, no answer" : "kept");
    return is_found;
}

/// \returns how many requests were lost
int play(fleet& all) {
    ingress platform{all.stopped};
    platform.ask();
    const time_point began_at = steady_clock::now();
    // The first requests wait for their objective of 2 s and are refused shortly after the signal.
    std::vector<std::future<bool>> waiting;
    waiting.reserve(waiting_requests);
    const time_point signal_at = began_at + 500ms;
    const time_point again_at = signal_at + 1850ms;
    for (int number = 0; number < waiting_requests; ++number) {
        waiting.push_back(std::async(std::launch::async, [&all, &platform, again_at, number] {
            return ask_twice(all, platform, again_at + number * 20ms, number);
        }));
    }
    std::this_thread::sleep_until(signal_at);
    if (all.given.has_trouble) {
        all.told.write("SIGTERM to ", all.stopped.name());
        all.stopped.send_signal(SIGTERM);
    }
    for (int second = 1; second <= 4; ++second) {
        // The last question came just before the signal, as the ingress asks once a second.
        std::this_thread::sleep_until(signal_at + second * ask_period - 50ms);
        platform.ask();
        all.told.write("in rotation: ", platform.has_in_rotation());
    }
    if (all.given.has_trouble) {
        const int status = all.stopped.wait();
        const std::chrono::duration<double> since = steady_clock::now() - signal_at;
        all.told.write("the process has ended with status ", status, ", ", since.count(),
                       " s after the signal");
    }
    int lost = 0;
    for (auto& row : waiting) {
        lost += row.get() ? 1 : 0;
    }
    return lost;
}

/// The threads of the stand-ins last as long as this process, so nothing that they use may end
/// before it.
int run_case(const case_options& given) {
    static fleet all(given);
    if (!all.start()) {
        all.told.write("the routers aren't ready");
        return not_run;
    }
    const auto streams = fill(all);
    if (!eventually([&] { return all.book.count_open("decode") == 2 * slots; }, 5s)) {
        all.told.write("the places aren't taken");
        return not_run;
    }
    const int lost = play(all);
    all.told.write_runs(all.book.all());
    all.told.write(lost, " of ", waiting_requests, " requests were lost");
    all.stopped.end();
    all.other.end();
    return lost > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    try {
        const case_options given = read_options({argv, argv + argc});
        const int outcome = given.program.empty() ? not_run : run_case(given);
        std::_Exit(outcome);
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << "\n";
        std::_Exit(not_run);
    }
}
