#include "review/standins-3/scene.hpp"

// A server leaves without reporting "draining": its entry is removed, and it goes on serving for a
// while. Then the store comes back from a copy that still holds the entry, until the entry lapses
// after three status report intervals of silence.

namespace {

using namespace review;

constexpr milliseconds drain_bound = 2000ms;
constexpr milliseconds stable_bound = 3000ms;
constexpr milliseconds report_interval = 1200ms;
constexpr const char* leaving = "shop-2";
constexpr std::size_t callers_per_daemon = 3;

/// Callers that send requests one after the other until they are stopped.
class load {
public:
    load(deployment& tested, record& log) : tested_(tested), log_(log) {
        for (std::size_t index = 0; index < callers_per_daemon * tested.members.size(); ++index) {
            callers_.emplace_back([this, index] { run(index); });
        }
    }
    load(const load&) = delete;
    load& operator=(const load&) = delete;
    load(load&&) = delete;
    load& operator=(load&&) = delete;
    ~load() {
        is_stopped_ = true;
        for (std::thread& row : callers_) {
            row.join();
        }
    }

private:
    void run(std::size_t index) {
        const auto place = tested_.members[index % tested_.members.size()]->callers();
        for (int number = 0; !is_stopped_; ++number) {
            const std::string id = std::to_string(index) + "x" + std::to_string(number);
            const std::string method = number % 2 == 0 ? "POST" : "GET";
            const std::string target = number % 2 == 0 ? "/book/" : "/plain/";
            const caller asking{place};
            const auto sent_at = steady::now();
            asking.send(request_text(method, target + id, id, 1500ms));
            const int status = status_of(asking.receive_all());
            log_.write("request " + id + " answered " + std::to_string(status));
            std::this_thread::sleep_until(sent_at + 15ms);
        }
    }
    deployment& tested_;
    record& log_;
    std::atomic<bool> is_stopped_{false};
    std::vector<std::thread> callers_;
};

int play(record& log) {
    deployment tested;
    tested.stub.put("op/config", test_support::sample_platform_configuration(1));
    tested.stub.state_generation("1");
    for (const char* id : {"shop-1", leaving, "shop-3"}) {
        tested.stub.add_engine(id, "shop", "");
        test_support::engine_script script;
        script.plain_delay = 60ms;
        tested.stub.set_script(id, script);
    }
    for (const char* name : {"front-1", "front-2"}) {
        tested.start(tested.add(name, "a", association_limits(), association_bounds()));
    }
    if (!tested.wait_until_ready()) {
        return exit_not_run;
    }
    std::this_thread::sleep_for(stable_bound);
    steady::time_point gone_at;
    steady::time_point stable_at;
    {
        const load callers{tested, log};
        std::this_thread::sleep_for(1s);
        tested.stub.copy_store();
        log.write("the store is copied; the entry of " + std::string{leaving} + " is in the copy");
        std::this_thread::sleep_for(500ms);
        tested.stub.erase_entry(leaving);
        gone_at = steady::now();
        log.write("the entry of " + std::string{leaving} + " is removed; it goes on serving");
        std::this_thread::sleep_for(drain_bound);
        if (has_trouble()) {
            tested.stub.restore_store();
            log.write("the store is back from the copy");
        }
        const auto back_at = steady::now();
        stable_at = back_at + stable_bound;
        std::this_thread::sleep_until(back_at + 3 * report_interval);
        if (has_trouble()) {
            tested.stub.erase_entry(leaving);
            log.write("the entry of " + std::string{leaving} + " has lapsed");
        }
        std::this_thread::sleep_for(500ms);
    }
    int late = 0;
    for (const auto& row : tested.stub.seen()) {
        const bool is_request = !row.target.starts_with("/cicadahatch/");
        const auto since = std::chrono::duration_cast<milliseconds>(row.at - gone_at);
        if (row.engine != leaving || !is_request || since <= drain_bound) {
            continue;
        }
        const bool counts = row.at > stable_at + 100ms;
        late += counts ? 1 : 0;
        log.write(row.target + " reached " + row.engine + " " + std::to_string(since.count()) +
                  " ms after its entry was removed" +
                  (counts ? "" : " (the store was not stable yet)"));
    }
    log.write(std::to_string(late) + " requests reached the server that is gone");
    return late > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, play);
}
