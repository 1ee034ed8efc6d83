#include "review/standins/installation.hpp"
#include "review/standins/store_path.hpp"

#include <algorithm>

// A machine is cut off from the store for four seconds. Just after the store answers it again an
// engine leaves: its entry is removed. Orders go on all the while.

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr milliseconds work{60};
constexpr milliseconds patience{1500};
constexpr milliseconds drain{2000};  ///< drainMs of the sheet
constexpr milliseconds stable{3000}; ///< stableMs of the sheet
constexpr milliseconds cut_time{4000};
constexpr milliseconds leave_delay{50};  ///< from the return of the store to the engine's leaving
constexpr milliseconds exit_delay{2350}; ///< the engine exits a little later than drainMs
constexpr milliseconds order_pause{15};
constexpr milliseconds margin{30}; ///< for the way of the store's answer and of a request
constexpr int rounds = 5;
constexpr std::size_t order_clients = 4;

std::mutex statuses_mutex;
std::map<std::string, unsigned> statuses; ///< by order

void send_orders(std::uint16_t port, const std::string& client) {
    std::unique_ptr<channel> kept;
    for (int step = 0;; ++step) {
        if (!kept || !kept->is_open()) {
            kept = std::make_unique<channel>(port);
        }
        call order;
        order.path = "/orders/order";
        order.id = client + "-" + std::to_string(step);
        order.deadline = patience;
        order.body = "one steel die";
        if (!kept->is_open() || !kept->send(order)) {
            kept.reset();
            std::this_thread::sleep_for(order_pause);
            continue;
        }
        const unsigned status = kept->receive(patience + order_pause).status;
        {
            const std::lock_guard lock{statuses_mutex};
            statuses[order.id] = status;
        }
        std::this_thread::sleep_for(order_pause);
    }
}

unsigned status_of(const std::string& order) {
    const std::lock_guard lock{statuses_mutex};
    const auto found = statuses.find(order);
    return found == statuses.end() ? 0 : found->second;
}

/// Times of one round, for the judgement.
struct round_times {
    clock::time_point healed;
    clock::time_point left; ///< the store has acknowledged that the engine is gone
};

/// \returns how many orders reached the engine too late from the machine, once it is in touch
std::size_t count_late(record& notes, engine& leaving, const round_times& times) {
    std::size_t late = 0;
    for (const auto& [order, began] : leaving.begins()) {
        const bool is_in_touch = began >= times.healed + stable + margin;
        if (began <= times.left + drain + margin || !is_in_touch) {
            continue;
        }
        ++late;
        const auto after = std::chrono::duration_cast<milliseconds>(began - times.left);
        notes.write("DRAIN: " + order + " reached " + leaving.id() + " " +
                    std::to_string(after.count()) + " ms after it was gone; its client got " +
                    std::to_string(status_of(order)));
    }
    return late;
}

std::size_t run_round(record& notes, store& platform, store_path& path, engine& leaving) {
    round_times times;
    if (is_troubled()) {
        path.cut();
        notes.write("the machine is cut off from the store");
        std::this_thread::sleep_for(cut_time);
        path.heal();
    }
    times.healed = clock::now();
    notes.write("the path to the store is whole");
    static_cast<void>(path.wait_for_answer());
    notes.write("the store answers the machine");
    std::this_thread::sleep_for(leave_delay);
    platform.remove("servers/" + leaving.id());
    times.left = clock::now();
    notes.write("the entry of " + leaving.id() + " is removed");
    std::this_thread::sleep_until(times.left + exit_delay);
    leaving.exit();
    std::this_thread::sleep_for(patience);
    return count_late(notes, leaving, times);
}

[[noreturn]] void run(const std::string& folder, const std::string& record_file) {
    record notes{record_file};
    store platform;
    engine staying{notes, "engine-stays", work};
    staying.enter(platform, "orders");
    platform.put("op/config",
                 configuration(7, json::array({plain_route("orders", "non_idempotent", 800, 1)}),
                               json::array({plain_service("orders")})));
    store_path path{platform.port()};
    router machine{notes, folder, path.place()};
    if (!machine.start() || !wait_until_served(notes, machine.callers(), "orders")) {
        finish(machine, exit_not_run);
    }
    std::vector<std::thread> clients;
    for (std::size_t number = 0; number < order_clients; ++number) {
        clients.emplace_back(send_orders, machine.callers(), "client-" + std::to_string(number));
    }
    std::size_t late = 0;
    std::vector<std::unique_ptr<engine>> engines;
    for (int round = 0; round < rounds; ++round) {
        // Its threads may outlast the round.
        engines.push_back(
            std::make_unique<engine>(notes, "engine-leaves-" + std::to_string(round), work));
        engine& leaving = *engines.back();
        leaving.enter(platform, "orders");
        std::this_thread::sleep_for(stable + 1s);
        late += run_round(notes, platform, path, leaving);
    }
    notes.write(std::to_string(late) + " orders reached engines that were gone for over " +
                std::to_string(drain.count()) + " ms");
    notes.write(late > 0 ? "DRAIN was broken" : "DRAIN held");
    finish(machine, late > 0 ? exit_broken : exit_held);
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        return exit_not_run;
    }
    run(argv[1], argv[2]);
}
