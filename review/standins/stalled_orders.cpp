#include "review/standins/installation.hpp"

#include <csignal>
#include <set>

// Orders that may run once at most are at their engines when the machine stands still for a second.

namespace {

using namespace review;

constexpr milliseconds work{60};
constexpr milliseconds patience{1500};
constexpr milliseconds stall{1000};
constexpr std::size_t orders_per_round = 6;
constexpr int rounds = 3;

/// One order of a shop, and the client's attempts at it.
struct order {
    std::string name;
    std::vector<std::string> attempts;
    std::vector<unsigned> statuses;
};

call attempt_at(order& asked, milliseconds left) {
    call sent;
    sent.path = "/orders/" + asked.name;
    sent.id = asked.name + "-attempt-" + std::to_string(asked.attempts.size() + 1);
    sent.deadline = left;
    sent.body = "one steel die for " + asked.name;
    asked.attempts.push_back(sent.id);
    return sent;
}

void note_answer(record& notes, order& asked, const outcome& got) {
    asked.statuses.push_back(got.status);
    notes.write("client: " + asked.attempts.back() + " got " + std::to_string(got.status) + " " +
                (got.fault.empty() ? "retry-after " + got.retry_after : got.fault));
}

/// A client repeats an order once, on a new channel, if it was promised that it has not run.
void run_order(record& notes, std::uint16_t port, order& asked) {
    const auto began = clock::now();
    const call first = attempt_at(asked, patience);
    notes.write("client: sends " + first.id);
    const outcome got = send_once(port, first, patience);
    note_answer(notes, asked, got);
    const auto left = std::chrono::duration_cast<milliseconds>(patience - (clock::now() - began));
    if (got.status != 503 || left.count() <= 0) {
        return;
    }
    const double wanted = got.retry_after.empty() ? 0 : std::stod(got.retry_after);
    const auto pause =
        std::min<std::chrono::duration<double>>(std::chrono::duration<double>{wanted}, left / 3);
    std::this_thread::sleep_for(pause);
    const auto rest = std::chrono::duration_cast<milliseconds>(patience - (clock::now() - began));
    const call second = attempt_at(asked, rest);
    notes.write("client: was told that it has not run, so it sends " + second.id);
    note_answer(notes, asked, send_once(port, second, rest));
}

bool run_round(record& notes, router& machine, const std::vector<engine*>& engines, int round) {
    std::vector<order> orders(orders_per_round);
    std::vector<std::thread> clients;
    for (std::size_t number = 0; number < orders.size(); ++number) {
        orders[number].name = "order-" + std::to_string(round) + "-" + std::to_string(number);
        clients.emplace_back([&, number] { run_order(notes, machine.callers(), orders[number]); });
    }
    std::this_thread::sleep_for(work / 2);
    if (is_troubled()) {
        machine.signal(SIGSTOP, "stands still");
        std::this_thread::sleep_for(stall);
        machine.signal(SIGCONT, "goes on");
    }
    for (std::thread& client : clients) {
        client.join();
    }
    bool is_broken = false;
    for (const order& asked : orders) {
        int total = 0;
        for (std::size_t attempt = 0; attempt < asked.attempts.size(); ++attempt) {
            int runs = 0;
            for (engine* each : engines) {
                runs += each->runs_of(asked.attempts[attempt]);
            }
            total += runs;
            const unsigned status = asked.statuses[attempt];
            const bool is_promise =
                status == 503 || status == 429 || status == 408 || status == 421;
            if (is_promise && runs > 0) {
                is_broken = true;
                notes.write("REFUSED broken: " + asked.attempts[attempt] + " was answered " +
                            std::to_string(status) + " and has run");
            }
        }
        if (total > 1) {
            notes.write("the order " + asked.name + " ran " + std::to_string(total) + " times");
        }
    }
    return is_broken;
}

[[noreturn]] void run(const std::string& folder, const std::string& record_file) {
    record notes{record_file};
    store platform;
    engine first{notes, "engine-1", work};
    engine second{notes, "engine-2", work};
    first.enter(platform, "orders");
    second.enter(platform, "orders");
    platform.put("op/config",
                 configuration(7, json::array({plain_route("orders", "non_idempotent", 800, 1)}),
                               json::array({plain_service("orders")})));
    router machine{notes, folder, place_of(platform.port())};
    if (!machine.start() || !wait_until_served(notes, machine.callers(), "orders")) {
        finish(machine, exit_not_run);
    }
    bool is_broken = false;
    for (int round = 0; round < rounds; ++round) {
        is_broken = run_round(notes, machine, {&first, &second}, round) || is_broken;
        std::this_thread::sleep_for(std::chrono::seconds{1});
    }
    if (!machine.is_running()) {
        notes.write("the daemon has ended");
    }
    notes.write(is_broken ? "REFUSED was broken" : "REFUSED held");
    finish(machine, is_broken ? exit_broken : exit_held);
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        return exit_not_run;
    }
    run(argv[1], argv[2]);
}
