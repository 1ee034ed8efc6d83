#pragma once

#include "cicadahatch/settings"
#include "test/support/process.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cicadahatch::test_support {

/// \brief Processes of one deployment on loopback: platform, backend servers and daemons.
class cluster {
public:
    cluster();

    [[nodiscard]] process& platform() noexcept { return platform_; }
    [[nodiscard]] process& backend(const std::string& name) { return backends_.at(name); }
    [[nodiscard]] process& daemon(const std::string& name) { return daemons_.at(name); }
    [[nodiscard]] http::endpoint callers(const std::string& daemon_name) {
        return daemon(daemon_name).place("callers");
    }
    [[nodiscard]] http::endpoint admin(const std::string& daemon_name) {
        return daemon(daemon_name).place("admin");
    }

    /// \returns the file that a process's standard error goes to
    [[nodiscard]] std::string log_path(const std::string& name) const {
        return scratch_dir_ + "/" + name + ".log";
    }

    /// \brief Starts a backend server of a service.
    /// \param extra further arguments of the stand-in
    void start_backend(const std::string& service, const std::string& name, backend_role role,
                       const std::string& domain, std::vector<std::string> extra = {});

    /// \brief Starts a backend server again at the address that it had.
    void restart_backend(const std::string& name);

    /// \brief Publishes a backend server under another address, such as that of a relay.
    void redirect_backend(const std::string& name, const http::endpoint& place) {
        started_.at(name).described.address = to_string(place);
    }

    /// \brief Sets the worker threads of the callers' listeners of daemons started from now on.
    void set_caller_threads(int count) { caller_threads_ = count; }

    /// \brief Starts a daemon that knows the daemons started before it.
    /// \param overrides lines of JSON fields put into its settings
    void start_daemon(const std::string& name, const std::string& domain,
                      const std::string& overrides = {});

    /// \brief Starts a daemon again at the addresses that it had, with the settings that it had.
    void restart_daemon(const std::string& name);

    /// \brief Starts a daemon that the others reach through a relay, and that reaches the platform
    /// through another.
    void start_relayed_daemon(const std::string& name, const std::string& domain);
    /// \brief Lets nothing pass from the other daemons to a relayed one, or all again.
    void cut_peers(const std::string& name, bool is_cut);
    /// \brief Lets nothing pass between a relayed daemon and the platform, or all again.
    void cut_platform(const std::string& name, bool is_cut);

    /// \brief Publishes a service with the backend servers started for it.
    void publish(settings::service described);
    /// \brief Publishes the services again with what has been started since.
    void publish_all();

    /// \brief Waits until all daemons have a configuration with these services and each reports
    /// its engines as taking work, and all know each other.
    [[nodiscard]] bool wait_until_ready();

    /// \returns the total of a field over the records of all backend servers of a service
    [[nodiscard]] std::vector<std::string> runs(const std::string& service);
    /// \returns the number of memory holdings at all backend servers
    [[nodiscard]] std::size_t holdings();

private:
    struct started_backend {
        std::string service;
        settings::backend_server described;
        std::vector<std::string> arguments;
    };

    struct started_daemon {
        std::string domain;
        std::string overrides;
        http::endpoint platform;
        std::string advertised; ///< empty: where it listens
        std::string seeds;
    };

    /// \param places of the listeners; port 0 picks a free one
    void run_daemon(const std::string& name, const std::map<std::string, std::string>& places);
    [[nodiscard]] std::string seeds_for(const std::string& name) const;
    [[nodiscard]] process& start_relay(const std::string& name);

    std::string scratch_dir_;
    int caller_threads_ = 256;
    process platform_;
    std::map<std::string, process> relays_;
    std::map<std::string, started_daemon> described_;
    std::map<std::string, process> backends_;
    std::map<std::string, started_backend> started_;
    std::map<std::string, process> daemons_;
    std::map<std::string, settings::service> services_;
};

/// \returns a model service with targets that suit the stand-in engines
[[nodiscard]] settings::service model_service(const std::string& name);
/// \returns a plain service whose POSTs below /orders run at most once
[[nodiscard]] settings::service plain_service(const std::string& name);

} // namespace cicadahatch::test_support
