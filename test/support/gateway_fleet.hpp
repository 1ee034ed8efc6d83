#pragma once

#include "test/support/gateway_fixture.hpp"

#include <algorithm>
#include <functional>

namespace cicadahatch::test_support {

/// Several gateways in this process, of one failure domain, against one stub of the platform.
struct gateway_fleet {
    /// Ends the connection after the response.
    static inline const std::string close_field = "Connection: close\r\n";

    platform_stub stub;
    system_clock time;
    boot_clock lease_time;

    explicit gateway_fleet(std::size_t size) : gateway_fleet(size, {}) {}
    /// \param bounds of each gateway; the drain bound is set here
    /// \param has_relays whether the gateways relay to each other what they read from the store
    gateway_fleet(std::size_t size, const settings::installation_bounds& bounds,
                  bool has_relays = false)
        : bounds_(bounds), has_relays_(has_relays) {
        add_sample_services(stub);
        for (std::size_t index = 1; index <= size; ++index) {
            add_member("d" + std::to_string(index));
        }
        const std::string counted = "\"daemons\":" + std::to_string(size);
        REQUIRE(eventually([&] { return all_have_logged(counted); }));
        REQUIRE(eventually([&] { return all_have_logged("home.reached"); }));
    }
    gateway_fleet(const gateway_fleet&) = delete;
    gateway_fleet& operator=(const gateway_fleet&) = delete;
    gateway_fleet(gateway_fleet&&) = delete;
    gateway_fleet& operator=(gateway_fleet&&) = delete;
    ~gateway_fleet() {
        stop_load();
        for (const auto& row : members_) {
            row->daemon->halt();
        }
    }

    /// Registers an engine and waits until all daemons have seen it.
    void add_engine(const std::string& id, const std::string& service, const std::string& stage) {
        stub.add_engine(id, service, stage);
        REQUIRE(eventually([&] { return all_have_logged("\"" + id + "\""); }));
    }

    /// Starts a gateway that can be cut off from the store, see platform_stub::sever_store().
    void add_severable_gateway() {
        add_member("d" + std::to_string(members_.size() + 1), stub.severable_store());
    }
    /// Starts another gateway.
    void add_gateway() { add_member("d" + std::to_string(members_.size() + 1)); }

    /// Waits until all gateways have noticed that the store is in a generation.
    void await_restore(int generation) {
        const std::string noticed =
            R"("store.restored","generation":)" + std::to_string(generation);
        REQUIRE(eventually([&] { return all_have_logged(noticed); }));
    }

    /// Ends the gateway that is the home of the engines, without a notice to the others.
    void kill_home() {
        const auto home = std::find_if(members_.begin(), members_.end(), [](const auto& row) {
            return !row->is_killed && row->has_logged("home.joined");
        });
        REQUIRE(home != members_.end());
        (*home)->is_killed = true;
        (*home)->daemon->halt();
    }

    /// \returns the number of the first gateway that has not logged the text
    [[nodiscard]] std::size_t find_without(const std::string& text) const {
        const auto found = std::find_if(members_.begin(), members_.end(), [&text](const auto& row) {
            return !row->has_logged(text);
        });
        REQUIRE(found != members_.end());
        return static_cast<std::size_t>(found - members_.begin());
    }
    /// \returns where a gateway takes callers
    [[nodiscard]] http::endpoint callers(std::size_t number) const {
        return http::parse_endpoint(members_.at(number)->configured.callers).value();
    }
    void shut_down(std::size_t number) { members_.at(number)->daemon->shut_down(); }

    /// Sends one request to the gateway that was started last.
    void send_to_newest(const std::string& request) { send(*members_.back(), request); }

    /// \returns whether a gateway has logged a text after the last line with another one
    [[nodiscard]] bool has_logged_after(std::size_t number, const std::string& first,
                                        const std::string& text) const {
        const member& row = *members_.at(number);
        const std::lock_guard lock{row.mutex};
        const std::size_t at = row.log.rfind(first);
        return at != std::string::npos && row.log.find(text, at) != std::string::npos;
    }
    [[nodiscard]] bool has_logged(std::size_t number, const std::string& text) const {
        return members_.at(number)->has_logged(text);
    }
    [[nodiscard]] bool all_have_logged(const std::string& text) {
        return std::all_of(members_.begin(), members_.end(),
                           [&](const auto& row) { return row->has_logged(text); });
    }

    /// Starts callers that send requests at a steady rate until stop_load().
    /// \param per_second rate of each daemon's callers
    void load(const std::vector<int>& per_second, const std::function<std::string()>& request) {
        for (std::size_t index = 0; index < per_second.size(); ++index) {
            const auto period = std::chrono::nanoseconds{1s} / per_second.at(index);
            callers_.emplace_back([this, index, period, request] {
                auto next = std::chrono::steady_clock::now();
                while (!is_load_stopped_ && !members_.at(index)->is_killed) {
                    std::this_thread::sleep_until(next += period);
                    send(*members_.at(index), request());
                }
            });
        }
    }
    void stop_load() {
        is_load_stopped_ = true;
        for (std::thread& caller : callers_) {
            caller.join();
        }
        callers_.clear();
    }

    [[nodiscard]] std::size_t responses() {
        const std::lock_guard lock{mutex_};
        return received_.size();
    }
    [[nodiscard]] std::size_t count_status(int status) {
        const std::lock_guard lock{mutex_};
        return static_cast<std::size_t>(
            std::count_if(received_.begin(), received_.end(), [status](const std::string& row) {
                return gateway_fixture::status_of(row) == status;
            }));
    }
    [[nodiscard]] bool every_refusal_has(const std::string& text) {
        const std::lock_guard lock{mutex_};
        return std::all_of(received_.begin(), received_.end(), [&text](const std::string& row) {
            return gateway_fixture::status_of(row) != 503 || row.find(text) != std::string::npos;
        });
    }

    /// \returns the longest time that a refused caller waited
    [[nodiscard]] duration slowest_refusal() {
        const std::lock_guard lock{mutex_};
        return slowest_refusal_;
    }

private:
    struct member {
        settings::gateway_settings configured;
        std::unique_ptr<gateway::gateway_daemon> daemon;
        std::thread thread;
        std::atomic<bool> is_killed{false};
        mutable std::mutex mutex;
        std::string log;

        member() = default;
        member(const member&) = delete;
        member& operator=(const member&) = delete;
        member(member&&) = delete;
        member& operator=(member&&) = delete;
        ~member() {
            if (thread.joinable()) {
                daemon->halt();
                thread.join();
            }
        }
        [[nodiscard]] bool has_logged(const std::string& text) const {
            const std::lock_guard lock{mutex};
            return log.find(text) != std::string::npos;
        }
    };

    void add_member(const std::string& name) { add_member(name, stub.store()); }
    void add_member(const std::string& name, const http::endpoint& store) {
        auto& added = *members_.emplace_back(std::make_unique<member>());
        set_addresses(added.configured, name, stub);
        added.configured.store.address = http::to_string(store);
        added.configured.bounds = bounds_;
        if (has_relays_) {
            added.configured.registry = free_endpoint();
        }
        added.configured.bounds.drain = 500ms;
        auto built = gateway::gateway_builder{}
                         .settings(added.configured)
                         .time(time)
                         .lease_time(lease_time)
                         .platform(platform::binding())
                         .log_output([&added](std::string_view line) {
                             const std::lock_guard lock{added.mutex};
                             added.log.append(line);
                             return true;
                         })
                         .build();
        INFO(build_error(built));
        REQUIRE(built);
        added.daemon = std::move(*built);
        added.thread = std::thread([&added] { static_cast<void>(added.daemon->run()); });
        REQUIRE(eventually([&added] { return added.has_logged("\"ready\":true"); }));
    }
    void send(const member& to, const std::string& bytes) {
        const raw_caller caller{http::parse_endpoint(to.configured.callers).value()};
        const auto begun = std::chrono::steady_clock::now();
        caller.send(bytes);
        std::string response = caller.receive_all();
        const std::lock_guard lock{mutex_};
        if (gateway_fixture::status_of(response) == 503) {
            slowest_refusal_ =
                std::max(slowest_refusal_, duration{std::chrono::steady_clock::now() - begun});
        }
        received_.push_back(std::move(response));
    }

    settings::installation_bounds bounds_;
    bool has_relays_;
    std::vector<std::unique_ptr<member>> members_;
    std::vector<std::thread> callers_;
    std::atomic<bool> is_load_stopped_{false};
    std::mutex mutex_; ///< guards the members below
    std::vector<std::string> received_;
    duration slowest_refusal_{0};
};

} // namespace cicadahatch::test_support
