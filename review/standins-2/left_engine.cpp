/// \file
/// \brief Case 9: an engine that is silent for a while is left, and works on.

#include "review/standins-2/deployment.hpp"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

using namespace std::chrono_literals;
using namespace standins;

constexpr auto start_limit = 20s;
constexpr auto deadline = 14'000ms;
/// TWICE: how long the engine before may still work.
constexpr auto overlap = 400ms;
constexpr std::size_t slots = 64;
/// Clients of this route stay for a gap of four times its objective, 3.2 s.
constexpr auto silence = 2800ms;
constexpr unsigned long event_before_silence = 3;
/// A stream of 20 events, 3 s.
constexpr unsigned long output_tokens = 20UL * 61;
constexpr const char* victim = "9c41d07be2a35f68";

/// \returns the decode runs of the request, in the order of their beginnings
std::vector<run> decode_runs(run_book& book) {
    std::vector<run> found;
    for (const run& row : book.all()) {
        if (row.request == victim && row.what == "decode") {
            found.push_back(row);
        }
    }
    return found;
}

bool is_twice(const std::vector<run>& runs) {
    for (std::size_t later = 1; later < runs.size(); ++later) {
        const run& before = runs[later - 1];
        const bool goes_on = before.ended_at == time_point{};
        if (goes_on || before.ended_at - runs[later].began_at >= overlap) {
            return true;
        }
    }
    return false;
}

/// The threads of the stand-ins last as long as this process, so nothing that they use may end
/// before it.
int run_case(const case_options& given) {
    record told{given.record};
    static store platform;
    static run_book book;
    static memory_shortage shortage_1{victim, event_before_silence, silence};
    static memory_shortage shortage_2{victim, event_before_silence, silence};
    static model_engine prefill_1{book, "i-p1", "prefill", slots};
    static model_engine prefill_2{book, "i-p2", "prefill", slots};
    static model_engine decode_1{book, "i-d1", "decode", slots};
    static model_engine decode_2{book, "i-d2", "decode", slots};
    platform.put("op/config", sample_configuration());
    for (const model_engine* engine : {&prefill_1, &prefill_2, &decode_1, &decode_2}) {
        engine->enter(platform);
    }
    if (given.has_trouble) {
        decode_1.set_shortage(shortage_1);
        decode_2.set_shortage(shortage_2);
    }
    router entry{given.program, given.folder, "front-plaine-verte-1", "plaine-verte"};
    entry.start(platform);
    if (!eventually([&] { return entry.is_ready(); }, start_limit)) {
        told.write("the router isn't ready");
        return not_run;
    }
    std::this_thread::sleep_for(1s);
    told.write("sent: ", victim);
    channel used{entry.front()};
    const std::string fields = stream_fields("e4402b7d", output_tokens);
    const received seen = used.exchange(
        request_text("/costing/x", victim, deadline, fields, "prompt"), deadline + 1s);
    told.write("ended: status ", seen.status, seen.is_whole ? ", whole" : ", not whole", ", ",
               std::chrono::duration<double>(seen.ended_at - seen.sent_at).count(),
               " s after it was sent; an engine was silent: ",
               shortage_1.has_begun() || shortage_2.has_begun());
    std::this_thread::sleep_for(silence);
    const auto runs = decode_runs(book);
    told.write_runs(book.all());
    if (runs.empty()) {
        told.write("no engine ran it");
        return not_run;
    }
    const bool has_run_twice = is_twice(runs);
    told.write(has_run_twice ? "TWICE: it went on at another engine while the engine before still "
                               "worked on it 400 ms later"
                             : "kept");
    entry.end();
    return has_run_twice ? rule_broken : rule_held;
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
