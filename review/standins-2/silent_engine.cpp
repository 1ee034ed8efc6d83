/// \file
/// \brief Case 6: a machine is stopped while an engine that it streams from is silent for a while.

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
constexpr auto grace = 8s;
constexpr std::size_t slots = 64;
/// Clients of this route stay for a gap of four times its objective, 3.2 s.
constexpr auto silence = 2500ms;
constexpr unsigned long event_before_silence = 3;
/// A stream of 20 events, 3 s; with the silence it ends 5.5 s after it has begun.
constexpr unsigned long output_tokens = 20UL * 61;
constexpr const char* victim = "9c41d07be2a35f68";

struct fleet {
    explicit fleet(const case_options& options) : given(options), told(options.record) {}

    const case_options& given;
    record told;
    store platform;
    run_book book;
    memory_shortage shortage{victim, event_before_silence, silence};
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
        if (given.has_trouble) {
            decode_1.set_shortage(shortage);
            decode_2.set_shortage(shortage);
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

/// LOST: the channel of a request that an engine was at work on ends without a complete answer.
/// Not counted: the engine broke off, the deadline was reached, or the engine was still at work in
/// the last sixth of the grace time.
bool is_lost(const received& seen, const std::vector<run>& runs, time_point signal_at) {
    bool has_run = false;
    for (const run& row : runs) {
        has_run = has_run || (row.request == victim && row.what == "decode");
    }
    const bool is_late =
        seen.ended_at - seen.sent_at >= deadline || seen.ended_at - signal_at >= grace * 5 / 6;
    return has_run && seen.is_closed && !seen.is_whole && !is_late;
}

received ask(const router& entry, record& told) {
    channel used{entry.front()};
    told.write("sent: ", victim, " to ", entry.name());
    const std::string fields = stream_fields("e4402b7d", output_tokens);
    return used.exchange(request_text("/costing/x", victim, deadline, fields, "prompt"),
                         deadline + 1s);
}

/// \returns whether the request was lost
bool play(fleet& all) {
    auto answer = std::async(std::launch::async, [&all] { return ask(all.stopped, all.told); });
    if (!eventually([&] { return all.book.count_open("decode") == 1; }, 5s)) {
        throw std::runtime_error{"the stream hasn't begun"};
    }
    std::this_thread::sleep_for(300ms);
    const time_point signal_at = steady_clock::now();
    all.told.write("SIGTERM to ", all.stopped.name());
    all.stopped.send_signal(SIGTERM);
    const received seen = answer.get();
    const std::chrono::duration<double> since = seen.ended_at - signal_at;
    all.told.write("ended: status ", seen.status, seen.is_whole ? ", whole" : ", not whole",
                   seen.is_closed ? ", the channel was closed" : "", ", ", since.count(),
                   " s after the signal; silence of the engine: ", all.shortage.has_begun());
    all.told.write("bytes <", seen.bytes, ">");
    return is_lost(seen, all.book.all(), signal_at);
}

/// The threads of the stand-ins last as long as this process, so nothing that they use may end
/// before it.
int run_case(const case_options& given) {
    static fleet all(given);
    if (!all.start()) {
        all.told.write("the routers aren't ready");
        return not_run;
    }
    const bool has_lost = play(all);
    // The engine's run ends as its channel does, or goes on until its answer is whole.
    std::this_thread::sleep_for(silence + 1s);
    all.told.write_runs(all.book.all());
    all.told.write(has_lost ? "LOST: the router ended the answer because of the engine's silence"
                            : "kept");
    all.stopped.end();
    all.other.end();
    return has_lost ? rule_broken : rule_held;
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
