#include "test/demo/deployment.hpp"
#include "test/demo/outcomes.hpp"
#include "test/demo/tool.hpp"
#include "test/demo/traffic.hpp"
#include "test/support/http_calls.hpp"
#include "test/support/paths.hpp"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <glog/logging.h>
#include <map>

/// \file
/// \brief Shows both deployments at work in separate processes and checks every answer. Its exit
/// status is zero only if no answer was wrong and no booking ran twice.

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using demo::crowd;
using demo::deployment;
using demo::outcomes;
using demo::prompt;

constexpr int prompts_of_a_rank = 10;
constexpr int keys = 15;
constexpr int flood_prompts = 120;
constexpr int streams_in_a_failure = 8;
constexpr std::uint32_t short_answer = 20;
constexpr std::uint32_t long_answer = 60;

/// The daemons of each deployment; the last is the one to fail or to be drained.
const std::map<std::string, std::vector<std::string>>& entries() {
    static const std::map<std::string, std::vector<std::string>> named = {
        {"association", {"entry-a-1", "entry-a-2"}}, {"utility", {"entry-n-1", "entry-n-2"}}};
    return named;
}

void say(const char* what) {
    std::printf("== %s\n", what);
    std::fflush(stdout);
}

void start(cluster& running) {
    say("start platform, backend servers and four daemons in two failure domains");
    demo::start_backends(running);
    for (const deployment& shown : demo::deployments()) {
        for (const std::string& name : entries().at(shown.name)) {
            running.start_daemon(name, shown.domain);
        }
    }
    if (!running.wait_until_ready()) {
        std::fprintf(stderr, "demo: the daemons are not ready\n");
        std::exit(1);
    }
}

prompt make_prompt(cluster& running, const deployment& to, std::size_t entry, int number) {
    const auto& names = entries().at(to.name);
    prompt made;
    made.daemon = running.callers(names[entry % names.size()]);
    made.to = &to;
    made.text = to.model_service + " sheet " + std::to_string(number) +
                ": edges, rows and notes for the morning";
    made.tokens = short_answer;
    return made;
}

void send_prompts(cluster& running, outcomes& told) {
    say("send streaming prompts of both ranks");
    crowd callers;
    for (const deployment& to : demo::deployments()) {
        for (int number = 0; number < 2 * prompts_of_a_rank; ++number) {
            prompt made = make_prompt(running, to, static_cast<std::size_t>(number / 2), number);
            made.is_urgent = number % 2 == 0;
            callers.add([made, &told] { demo::send(made, told); });
        }
    }
}

void send_bookings(cluster& running, outcomes& told) {
    say("send bookings, some of them from several callers at once and again later");
    crowd callers;
    for (const deployment& to : demo::deployments()) {
        std::vector<http::endpoint> daemons;
        for (const auto& [name, listed] : entries()) {
            for (const std::string& entry : listed) {
                daemons.push_back(running.callers(entry));
            }
        }
        callers.add([daemons, &to, &told] {
            for (int number = 0; number < keys; ++number) {
                const std::string key = to.plain_service + "-" + std::to_string(number);
                demo::book_at_once({daemons.front()}, to, key + "-single", told);
                demo::book_at_once(daemons, to, key, told);
                demo::book_at_once({daemons.back()}, to, key, told);
            }
        });
    }
}

void send_flood(cluster& running, outcomes& told) {
    say("flood the least urgent rank while urgent prompts go on");
    crowd callers;
    for (const deployment& to : demo::deployments()) {
        for (int number = 0; number < flood_prompts; ++number) {
            prompt made = make_prompt(running, to, static_cast<std::size_t>(number), number);
            made.is_urgent = number % streams_in_a_failure == 0;
            callers.add([made, &told] { demo::send(made, told); });
        }
    }
}

/// Starts streams through one daemon and does something once each has begun.
void interrupt(cluster& running, const deployment& to, std::size_t entry, bool may_be_cut,
               outcomes& told, const std::function<void()>& disturb) {
    std::atomic<int> begun{0};
    crowd callers;
    for (int number = 0; number < streams_in_a_failure; ++number) {
        prompt made = make_prompt(running, to, entry, number);
        made.tokens = long_answer;
        made.may_be_cut = may_be_cut;
        made.on_token = [&begun](std::size_t count) { begun += count == 1 ? 1 : 0; };
        callers.add([made, &told] { demo::send(made, told); });
    }
    if (!eventually([&] { return begun == streams_in_a_failure; })) {
        told.wrong(to.model_service + ": streams did not begin");
    }
    disturb();
}

void disturb_all(cluster& running, outcomes& told) {
    const deployment& association = demo::deployments().front();
    const deployment& utility = demo::deployments().back();
    say("kill a decode engine in the middle of streams");
    interrupt(running, utility, 0, false, told,
              [&] { running.backend(utility.model_service + "-d1").kill(); });
    say("drain a daemon in the middle of streams");
    interrupt(running, utility, 1, false, told, [&] {
        if (!demo::run_tool({"drain", "--daemon", "--admin",
                             to_string(running.admin(entries().at("utility").back()))})) {
            told.wrong("cicadahatch drain failed");
        }
    });
    say("kill a daemon in the middle of streams");
    interrupt(running, association, 1, true, told,
              [&] { running.daemon(entries().at("association").back()).kill(); });
    say("go on with the daemons and engines that are left");
    crowd callers;
    for (const deployment& to : demo::deployments()) {
        for (int number = 0; number < prompts_of_a_rank; ++number) {
            const prompt made = make_prompt(running, to, 0, number);
            callers.add([made, &told] { demo::send(made, told); });
        }
    }
}

int repeated_runs(cluster& running) {
    int repeated = 0;
    for (const deployment& to : demo::deployments()) {
        std::map<std::string, int> counts;
        for (const std::string& key : running.runs(to.plain_service)) {
            repeated += ++counts[key] > 1 ? 1 : 0;
        }
    }
    return repeated;
}

void report_burn(cluster& running, outcomes& told) {
    say("burn report");
    const std::string admin = to_string(running.admin("entry-a-1")) + "," +
                              to_string(running.admin("entry-n-1")) + "," +
                              to_string(running.admin("entry-n-2"));
    if (!demo::run_tool(
            {"report", "burn", "--admin", admin, "--services", source_dir() + "/examples"})) {
        told.wrong("cicadahatch report burn failed");
    }
}

void check_each_kind_answered(const outcomes& told, outcomes& faults) {
    for (const deployment& to : demo::deployments()) {
        for (const std::string& kind :
             {to.model_service + " urgent", to.model_service + " deferrable", to.plain_service}) {
            if (told.answers(kind) == 0) {
                faults.wrong(kind + ": none was answered");
            }
        }
    }
}

} // namespace

int main() {
    outcomes told;
    cluster running;
    start(running);
    send_prompts(running, told);
    send_bookings(running, told);
    send_flood(running, told);
    disturb_all(running, told);
    report_burn(running, told);
    const int repeated = repeated_runs(running);
    check_each_kind_answered(told, told);
    if (!eventually([&] { return running.holdings() == 0; })) {
        told.wrong("engine memory is still held");
    }
    say("summary");
    told.print();
    std::printf("repeats run: %d\n", repeated);
    return told.has_wrong() || repeated > 0 ? 1 : 0;
}
