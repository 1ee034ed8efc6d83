#include "src/scheduling/cell_home.hpp"
#include "test/support/backend_control.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"
#include "test/support/raw_caller.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>

/// \file
/// \brief Measures with real processes how long engine memory stays held after a caller, a daemon
/// or a daemon with the cell's home has gone, and how long a stream stands still when its engine
/// dies. Usage: recovery_bench [ROUNDS]. Ends with 1 if a figure misses its target.
///
/// Engines keep a prefill's result for a minute here, so that only an order of the router frees
/// it.

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;
using std::chrono::steady_clock;
using seconds = std::chrono::duration<double>;

constexpr std::uint32_t long_answer = 1500;
constexpr std::uint32_t answer_tokens = 40;
constexpr std::size_t tokens_before_death = 10;
constexpr int default_rounds = 10;
constexpr std::chrono::milliseconds look_period{1};
constexpr std::chrono::seconds patience{30};
constexpr seconds live_daemon_target{1.0};
constexpr seconds dead_daemon_target{5.0};

std::string words(int count) {
    std::string text;
    for (int word = 0; word < count; ++word) {
        text += "row" + std::to_string(word) + " ";
    }
    return text;
}

/// Waits until a condition holds.
/// \returns the time since it began
seconds time_until(steady_clock::time_point began, const std::function<bool()>& holds) {
    while (!holds() && steady_clock::now() - began < patience) {
        std::this_thread::sleep_for(look_period);
    }
    return steady_clock::now() - began;
}

/// Prints a line of the report.
/// \returns whether all rounds met the target
bool report(const char* what, std::vector<seconds> taken, seconds target) {
    std::sort(taken.begin(), taken.end());
    const double middle = taken[taken.size() / 2].count();
    const double longest = taken.back().count();
    std::printf("%-44s p50 %.3f s, max %.3f s, target %.0f s, %zu rounds\n", what, middle, longest,
                target.count(), taken.size());
    std::fflush(stdout);
    return taken.back() <= target;
}

std::vector<seconds> repeat(int rounds, const std::function<seconds()>& once) {
    std::vector<seconds> taken;
    taken.reserve(static_cast<std::size_t>(rounds));
    for (int round = 0; round < rounds; ++round) {
        taken.push_back(once());
    }
    return taken;
}

settings::service long_output_service() {
    settings::service made = model_service("pattern");
    made.max_output_tokens = long_answer;
    return made;
}

std::string completion_bytes(const std::string& prompt) {
    const std::string body = json{
        {"model", "pattern"},
        {"prompt", prompt},
        {"max_tokens", long_answer},
        {"stream", true}}.dump();
    return "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// One daemon before a prefill engine and a decode engine with one slot.
class caller_leaving {
public:
    caller_leaving() {
        running_.start_backend("pattern", "p1", backend_role::prefill, "north",
                               {"--kv-retention-ms", "60000", "--prefill-rate", "500"});
        running_.start_backend("pattern", "d1", backend_role::decode, "north", {"--slots", "1"});
        running_.publish(long_output_service());
        running_.start_daemon("entry-1", "north");
        static_cast<void>(running_.wait_until_ready());
    }

    seconds queued() {
        raw_caller first{place()};
        first.send(completion_bytes(next_prompt(20)));
        static_cast<void>(first.receive_until("data: "));
        raw_caller second{place()};
        second.send(completion_bytes(next_prompt(20)));
        static_cast<void>(eventually([&] { return waiting() == 1; }));
        const auto left = steady_clock::now();
        second.leave();
        const seconds taken = time_until(left, [&] { return waiting() == 0; });
        first.leave();
        wait_until_idle();
        return taken;
    }

    seconds in_prefill() {
        return leave_when([&] { return running_.holdings() == 1; }, 400);
    }

    seconds in_transfer() {
        constexpr const char* slow_transfers = R"({"transfer_ms":100})";
        control_backend(decode(), slow_transfers);
        const seconds taken = leave_when([&] { return transfers_at(decode()) == 1; }, 20);
        control_backend(decode(), R"({"transfer_ms":0})");
        return taken;
    }

    seconds in_decode() {
        return leave_when([&] { return held_at(decode()) == 1; }, 20);
    }

private:
    http::endpoint place() { return running_.callers("entry-1"); }
    http::endpoint decode() { return running_.backend("d1").place(); }

    std::string next_prompt(int count) {
        return "prompt " + std::to_string(prompts_++) + " " + words(count);
    }

    int waiting() { return in_cell("waiting"); }

    int in_cell(const char* field) {
        const json content =
            json::parse(fetch(running_.admin("entry-1"), "/admin/v1/cells"), nullptr, false);
        return content.is_object() && !content["cells"].empty()
                   ? content["cells"].front()[field].get<int>()
                   : 0;
    }

    void wait_until_idle() {
        static_cast<void>(
            eventually([&] { return running_.holdings() == 0 && in_cell("granted") == 0; }));
    }

    seconds leave_when(const std::function<bool()>& holds, int prompt_words) {
        raw_caller caller{place()};
        caller.send(completion_bytes(next_prompt(prompt_words)));
        static_cast<void>(eventually(holds));
        const auto left = steady_clock::now();
        caller.leave();
        const seconds taken = time_until(
            left, [&] { return running_.holdings() == 0 && transfers_at(decode()) == 0; });
        wait_until_idle();
        return taken;
    }

    cluster running_;
    int prompts_ = 0;
};

/// Three daemons of one failure domain; some die with requests in prefill and in decode.
class daemon_death {
public:
    daemon_death() {
        running_.start_backend("pattern", "p1", backend_role::prefill, "north",
                               {"--kv-retention-ms", "60000", "--prefill-rate", "500"});
        running_.start_backend("pattern", "d1", backend_role::decode, "north");
        running_.publish(long_output_service());
        for (const std::string& name : names_) {
            running_.start_daemon(name, "north");
        }
    }

    seconds owner_dies() { return die(false); }
    seconds owner_and_home_die() { return die(true); }

private:
    /// While a restarted daemon joins, it and the interim home have the cell too.
    /// \returns the daemon that has the cell, alone and for as long as all of them live; empty if
    /// there is none
    std::string home() {
        std::vector<daemon_id> hosting;
        cell_id cell;
        for (const std::string& name : names_) {
            const json content =
                json::parse(fetch(running_.admin(name), "/admin/v1/cells"), nullptr, false);
            if (content.is_object() && !content["cells"].empty()) {
                cell = cell_id{content["cells"].front()["cell"].get<std::string>()};
                hosting.emplace_back(name);
            }
        }
        const std::vector<daemon_id> all{names_.begin(), names_.end()};
        const bool is_settled = hosting == scheduling::cell_homes(cell, all, 1);
        return is_settled ? hosting.front().str() : std::string{};
    }

    bool is_whole() {
        return std::all_of(names_.begin(), names_.end(), [&](const std::string& name) {
            const json content =
                json::parse(fetch(running_.admin(name), "/admin/v1/members"), nullptr, false);
            return content.is_object() && content["members"].size() == names_.size();
        });
    }

    std::future<streamed_answer> ask(const std::string& daemon, int prompt_words) {
        const http::endpoint place = running_.callers(daemon);
        const std::string prompt =
            "prompt " + std::to_string(prompts_++) + " " + words(prompt_words);
        return std::async(std::launch::async, [place, prompt] {
            return stream_completion(place, "pattern", prompt, long_answer);
        });
    }

    bool is_held_at(const std::string& engine) {
        return eventually([&] { return held_at(running_.backend(engine).place()) == 1; });
    }

    seconds die(bool takes_home_along) {
        static_cast<void>(running_.wait_until_ready());
        std::string home_name;
        static_cast<void>(eventually([&] {
            home_name = is_whole() ? home() : std::string{};
            return !home_name.empty();
        }));
        const std::string owner = home_name == names_[0] ? names_[1] : names_[0];
        const auto in_decode = ask(owner, 20);
        const bool is_decoding = is_held_at("d1");
        const auto in_prefill = ask(owner, 1000);
        const bool is_held = is_held_at("p1") && is_decoding;
        const auto died = steady_clock::now();
        running_.daemon(owner).kill();
        if (takes_home_along) {
            running_.daemon(home_name).kill();
        }
        const seconds taken = time_until(died, [&] { return running_.holdings() == 0; });
        for (const std::string& name : names_) {
            if (running_.daemon(name).id() <= 0) {
                running_.restart_daemon(name);
            }
        }
        if (!is_held) {
            std::printf("no memory was held when the daemon died: counted as missed\n");
        }
        return is_held ? taken : patience;
    }

    cluster running_;
    const std::array<std::string, 3> names_ = {"entry-1", "entry-2", "entry-3"};
    int prompts_ = 0;
};

/// One daemon before two decode engines; the one that streams dies.
class engine_death {
public:
    engine_death() {
        running_.start_backend("pattern", "p1", backend_role::prefill, "north");
        running_.start_backend("pattern", "d1", backend_role::decode, "north");
        running_.start_backend("pattern", "d2", backend_role::decode, "north");
        running_.publish(model_service("pattern"));
        running_.start_daemon("entry-1", "north");
    }

    seconds until_next_token() {
        static_cast<void>(running_.wait_until_ready());
        std::string killed;
        steady_clock::time_point died;
        seconds taken = patience;
        const std::string prompt = "prompt " + std::to_string(prompts_++);
        const auto on_token = [&](std::size_t received) {
            if (received == tokens_before_death) {
                killed = held_at(running_.backend("d1").place()) > 0 ? "d1" : "d2";
                died = steady_clock::now();
                running_.backend(killed).kill();
            }
            if (received == tokens_before_death + 1) {
                taken = steady_clock::now() - died;
            }
        };
        static_cast<void>(stream_completion(running_.callers("entry-1"), "pattern", prompt,
                                            answer_tokens, {}, on_token));
        running_.restart_backend(killed);
        return taken;
    }

private:
    cluster running_;
    int prompts_ = 0;
};

bool measure_callers(int rounds) {
    caller_leaving leaving;
    bool is_met = report("caller leaves, queued, until out of the queue",
                         repeat(rounds, [&] { return leaving.queued(); }), live_daemon_target);
    is_met &= report("caller leaves, in prefill, until memory is free",
                     repeat(rounds, [&] { return leaving.in_prefill(); }), live_daemon_target);
    is_met &= report("caller leaves, in transfer, until memory is free",
                     repeat(rounds, [&] { return leaving.in_transfer(); }), live_daemon_target);
    is_met &= report("caller leaves, in decode, until memory is free",
                     repeat(rounds, [&] { return leaving.in_decode(); }), live_daemon_target);
    return is_met;
}

bool measure_daemons(int rounds) {
    daemon_death dying;
    bool is_met = report("daemon dies, until memory is free",
                         repeat(rounds, [&] { return dying.owner_dies(); }), dead_daemon_target);
    is_met &=
        report("daemon and home die, until memory is free",
               repeat(rounds, [&] { return dying.owner_and_home_die(); }), dead_daemon_target);
    return is_met;
}

bool measure_engines(int rounds) {
    engine_death dying;
    return report("engine dies in mid-stream, until next token",
                  repeat(rounds, [&] { return dying.until_next_token(); }), live_daemon_target);
}

} // namespace

int main(int argc, char** argv) {
    const int rounds = argc > 1 ? std::max(1, std::atoi(argv[1])) : default_rounds;
    const bool callers_met = measure_callers(rounds);
    const bool daemons_met = measure_daemons(rounds);
    const bool engines_met = measure_engines(rounds);
    return callers_met && daemons_met && engines_met ? EXIT_SUCCESS : EXIT_FAILURE;
}
