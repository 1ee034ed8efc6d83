#pragma once

#include "src/core/clock.hpp"
#include "src/core/result.hpp"
#include "src/discovery/follower.hpp"
#include "src/forwarding/wire_protocol.hpp"
#include "src/logging/event_log.hpp"
#include "src/settings/gateway_settings.hpp"

#include <memory>
#include <string>

namespace cicadahatch::gateway {

/// \brief Connects a gateway to the interfaces of one platform.
struct platform_binding {
    std::unique_ptr<store::key_value_store> (*make_store)(const http::endpoint& place) = nullptr;
    discovery::registry_schema entries;
    forwarding::wire_protocol wire;
};

/// \brief The clocks of a gateway.
struct gateway_clocks {
    const clock& time;
    const clock& lease_time; ///< advances during system suspend
};

/// \brief A daemon that forwards requests to the backend servers registered in the store.
/// \sa gateway_builder
class gateway_daemon {
public:
    gateway_daemon(const gateway_daemon&) = delete;
    gateway_daemon& operator=(const gateway_daemon&) = delete;
    gateway_daemon(gateway_daemon&&) = delete;
    gateway_daemon& operator=(gateway_daemon&&) = delete;
    ~gateway_daemon();

    /// \brief Serves until SIGTERM or SIGINT, then finishes the requests in progress. A second
    /// SIGINT ends it at once.
    /// \returns whether every request ended before the shutdown timeout
    bool run();

    /// \brief Ends run() as SIGTERM does. Thread-safe.
    void shut_down();
    /// \brief Ends run() at once and aborts requests in progress. Thread-safe.
    void halt();

private:
    friend class gateway_builder;
    struct impl;
    explicit gateway_daemon(std::unique_ptr<impl> implementation);

    std::unique_ptr<impl> impl_;
};

/// \brief Builds a gateway daemon.
class gateway_builder {
public:
    gateway_builder& settings(settings::gateway_settings configured);
    /// \param file reloaded on SIGHUP
    gateway_builder& settings_file(std::string file);
    /// \param clock_source must outlive the daemon
    gateway_builder& time(const clock& clock_source);
    /// \param clock_source advances during system suspend; must outlive the daemon
    gateway_builder& lease_time(const clock& clock_source);
    gateway_builder& platform(platform_binding binding);
    gateway_builder& log_output(logging::event_log::output output);

    /// \brief Opens the listeners. From then on signals are kept until run().
    /// \returns a listening daemon, or the error; http::errc::address_in_use if another process
    /// listens at one of the addresses
    [[nodiscard]] result<std::unique_ptr<gateway_daemon>> build() const;

private:
    settings::gateway_settings configured_;
    std::string settings_file_;
    const clock* time_ = nullptr;
    const clock* lease_time_ = nullptr;
    platform_binding binding_;
    logging::event_log::output log_output_;
};

} // namespace cicadahatch::gateway
