#include "review/standins-3/scene.hpp"

// A key is taken away. Some seconds later the store comes back from a copy made before that, and a
// machine is added before the operator's configuration is written again. A caller goes on using the
// key.

namespace {

using namespace review;

constexpr milliseconds stable_bound = 4000ms;
constexpr milliseconds revocation_bound = 5000ms;
constexpr milliseconds restored_after = 4000ms; ///< from the acknowledgement of the withdrawal
constexpr milliseconds added_after = 5200ms;    ///< the same
constexpr milliseconds written_again = 2000ms;  ///< from the store's return

std::string configuration(std::uint64_t version, const std::vector<std::string>& keys) {
    json made = json::parse(test_support::sample_platform_configuration(version));
    made["tenants"] = json::array({{{"name", "blue"}, {"apiKeys", keys}}});
    return made.dump();
}

json peach_belt_bounds() {
    json bounds = association_bounds();
    bounds["drain_ms"] = 3000;
    bounds["configuration_ms"] = 3000;
    bounds["stabilization_ms"] = stable_bound.count();
    bounds["retry_extra"] = 202;
    bounds["transit_ms"] = 200;
    bounds["revocation_ms"] = revocation_bound.count();
    return bounds;
}

/// \returns whether the request with the withdrawn key was answered 200
bool ask(record& log, const deployment::member& to, const std::string& id) {
    const caller asking{to.callers(), 500ms};
    asking.send(
        request_text("GET", "/plain/" + id, id, 1000ms, "Authorization: Token old-key\r\n"));
    const int status = status_of(asking.receive_all());
    log.write("request " + id + " with the withdrawn key sent to " + to.name + ", answered " +
              std::to_string(status));
    return status == 200;
}

/// Uses the withdrawn key at the added daemon; the operator writes the version again meanwhile.
void use_key(deployment& tested, record& log, const deployment::member& added,
             const std::string& withdrawn, steady::time_point acknowledged) {
    bool is_written_again = !has_trouble();
    const auto written_again_at = acknowledged + restored_after + written_again;
    for (int number = 0; steady::now() < acknowledged + revocation_bound + 2500ms; ++number) {
        if (!is_written_again && steady::now() > written_again_at) {
            is_written_again = true;
            tested.stub.put("op/config", withdrawn);
            log.write("version 2 is written again");
        }
        const bool is_late = steady::now() > acknowledged + revocation_bound + 50ms;
        ask(log, added, (is_late ? "late" : "soon") + std::to_string(number));
        std::this_thread::sleep_for(5ms);
    }
}

/// \returns the number of requests sent after the bound that ran
int count_late_runs(const deployment& tested, record& log, steady::time_point acknowledged) {
    int run = 0;
    for (const auto& row : tested.stub.seen()) {
        if (!row.target.starts_with("/plain/late")) {
            continue;
        }
        ++run;
        const auto since = std::chrono::duration_cast<milliseconds>(row.at - acknowledged);
        log.write(row.target + " ran at " + row.engine + " " + std::to_string(since.count()) +
                  " ms after the withdrawal was acknowledged");
    }
    return run;
}

int play(record& log) {
    deployment tested;
    const json limits = {{"memory_mb", 88}, {"descriptors", 4100}};
    tested.stub.state_generation("1");
    tested.stub.put("op/config", configuration(1, {"old-key", "new-key"}));
    for (const char* id : {"shop-1", "shop-2"}) {
        tested.stub.add_engine(id, "shop", "");
    }
    for (const char* name : {"front-1", "front-2"}) {
        tested.start(tested.add(name, "a", limits, peach_belt_bounds()));
    }
    if (!tested.wait_until_ready()) {
        return exit_not_run;
    }
    std::this_thread::sleep_for(stable_bound);
    if (!ask(log, *tested.members.front(), "first")) {
        return exit_not_run;
    }
    tested.stub.copy_store();
    log.write("the store is copied");
    std::this_thread::sleep_for(300ms);
    const std::string withdrawn = configuration(2, {"new-key"});
    tested.stub.put("op/config", withdrawn);
    const auto acknowledged = steady::now();
    log.write("version 2 acknowledged: the key is withdrawn");
    std::this_thread::sleep_until(acknowledged + restored_after);
    if (has_trouble()) {
        tested.stub.restore_store();
        log.write("the store is back from the copy");
    }
    std::this_thread::sleep_until(acknowledged + added_after);
    auto& added = tested.add("front-3", "a", limits, peach_belt_bounds());
    tested.start(added);
    log.write("front-3 is added");
    use_key(tested, log, added, withdrawn, acknowledged);
    const int run = count_late_runs(tested, log, acknowledged);
    log.write(std::to_string(run) + " requests with the withdrawn key ran");
    return run > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, play);
}
