#include "review/standins-3/narrow_link.hpp"
#include "review/standins-3/scene.hpp"

// The store turns one of two daemons away for some seconds and serves the other one and the
// operator, who changes a configuration of 1,400 routes meanwhile. The daemon's machine has a link
// of 10 Mbit/s.

namespace {

using namespace review;

constexpr double link_bytes_per_second = 10e6 / 8;
constexpr int added_routes = 1400;
constexpr int changes = 7;
constexpr milliseconds change_interval = 1000ms;
constexpr milliseconds turned_away_for = 9000ms;
constexpr milliseconds stable_bound = 4000ms;
constexpr milliseconds configuration_bound = 3000ms;

/// Routes are added by the first version with many routes; the later ones change nothing of them.
std::string configuration(std::uint64_t version, bool is_large) {
    json made = json::parse(test_support::sample_platform_configuration(version));
    json added = made["routes"][0];
    for (int number = 0; is_large && number < added_routes; ++number) {
        added["name"] = "r-added-" + std::to_string(number);
        added["prefix"] = "/added" + std::to_string(number) + "/";
        made["routes"].push_back(added);
    }
    return made.dump();
}

void start_daemons(deployment& tested, const narrow_link& link) {
    json bounds = association_bounds();
    bounds["drain_ms"] = 3000;
    bounds["configuration_ms"] = configuration_bound.count();
    bounds["stabilization_ms"] = stable_bound.count();
    const json limits = {{"memory_mb", 88}, {"descriptors", 4100}};
    for (const char* name : {"front-1", "front-2"}) {
        auto& added = tested.add(name, "a", limits, bounds);
        if (added.name == "front-1") {
            added.settings["store"]["address"] = http::to_string(link.place());
            std::ofstream{added.file} << added.settings.dump();
        }
        tested.start(added);
    }
}

/// Publishes the versions, while the store turns front-1 away if the case plays its disruption.
/// \returns when the daemons are in touch and the last version is due
steady::time_point change_configuration(deployment& tested, narrow_link& link, record& log) {
    const auto began = steady::now();
    if (has_trouble()) {
        link.turn_away(true);
        log.write("the store turns front-1 away");
    }
    for (int change = 1; change <= changes; ++change) {
        std::this_thread::sleep_until(began + change * change_interval);
        const auto version = static_cast<std::uint64_t>(change) + 1;
        tested.stub.put("op/config", configuration(version, true));
        log.write("version " + std::to_string(version) + " acknowledged");
    }
    const auto acknowledged = steady::now();
    std::this_thread::sleep_until(began + turned_away_for);
    link.turn_away(false);
    const auto served_again = steady::now();
    if (has_trouble()) {
        log.write("the store serves front-1 again");
    }
    return std::max(served_again + stable_bound, acknowledged + configuration_bound) + 200ms;
}

/// \returns the number of requests for an added route that were refused
int count_refusals(const deployment& tested, record& log) {
    int refused = 0;
    for (int number = 0; number < 60; ++number) {
        for (const auto& row : tested.members) {
            const std::string id = row->name + "x" + std::to_string(number);
            const caller asking{row->callers()};
            asking.send(request_text("GET", "/added0/" + id, id, 1500ms));
            const int status = status_of(asking.receive_all());
            log.write("request " + id + " for a route of version 2 answered " +
                      std::to_string(status));
            refused += status == 404 ? 1 : 0;
        }
        std::this_thread::sleep_for(50ms);
    }
    return refused;
}

int play(record& log) {
    deployment tested;
    narrow_link link{tested.stub.store(), link_bytes_per_second};
    tested.stub.put("op/config", configuration(1, false));
    for (const char* id : {"shop-1", "shop-2"}) {
        tested.stub.add_engine(id, "shop", "");
    }
    start_daemons(tested, link);
    if (!tested.wait_until_ready()) {
        return exit_not_run;
    }
    std::this_thread::sleep_for(3s);
    std::this_thread::sleep_until(change_configuration(tested, link, log));
    const int refused = count_refusals(tested, log);
    log.write(std::to_string(refused) + " requests refused with 404 though the route is there");
    return refused > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, play);
}
