#include "cicadahatch/core"
#include "cicadahatch/serving"
#include "cicadahatch/settings"
#include "platform/binding.hpp"
#include "src/http/error.hpp"

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <glog/logging.h>
#include <iostream>
#include <pthread.h>
#include <thread>
#include <unistd.h>

/// \file
/// \brief The daemon: reads its settings, serves until SIGTERM or SIGINT, then shuts down
/// gracefully. A second signal ends it at once. With --gateway it serves the backend servers that
/// are registered in the users' platform; a second SIGTERM changes nothing there, SIGHUP reloads
/// the settings.

namespace {

using namespace cicadahatch;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_cut_off = 3; ///< the shutdown bound came before the last request's end

struct arguments {
    std::string settings_file;
    bool is_gateway = false;
    bool is_check_only = false;
};

cxxopts::Options describe() {
    cxxopts::Options described{"cicadahatchd", "Router for separate prefill and decode pools"};
    auto add = described.add_options();
    add("settings", "settings file (JSON with comments)", cxxopts::value<std::string>());
    add("gateway", "settings file of a gateway on the users' platform",
        cxxopts::value<std::string>());
    add("check-settings", "check the settings file and exit");
    add("h,help", "show this help");
    return described;
}

/// Time between two attempts to listen at addresses that another process holds.
constexpr std::chrono::milliseconds address_retry_delay{200};

/// Time after the shutdown bound in which the platform ends a process and its sockets.
constexpr std::chrono::milliseconds address_release_time{1000};

/// Keeps signals pending until they can be handled.
sigset_t block_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-cstyle-cast): the C library's macro has the cast
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void start_logging(const char* program, const settings::daemon_settings& configured) {
    FLAGS_minloglevel = configured.log_level;
    if (configured.log_directory.empty()) {
        FLAGS_logtostderr = true;
    } else {
        FLAGS_log_dir = configured.log_directory;
    }
    google::InitGoogleLogging(program);
}

/// Pending signals are handled, or end the process if they have no handler.
void unblock_signals(const sigset_t& signals) {
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

bool is_end_requested() {
    sigset_t pending;
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

/// Waits while a previous process that is still shutting down holds an address.
result<std::unique_ptr<gateway::gateway_daemon>>
build_gateway(const gateway::gateway_builder& builder, const cicadahatch::clock& time,
              duration patience) {
    const time_point gives_up_at = time.now() + patience;
    auto built = builder.build();
    while (!built && built.error() == http::errc::address_in_use && time.now() < gives_up_at &&
           !is_end_requested()) {
        std::this_thread::sleep_for(address_retry_delay);
        built = builder.build();
    }
    return built;
}

int run_gateway(const arguments& given, const sigset_t& signals) {
    const auto loaded = settings::load_gateway_settings(given.settings_file);
    for (const settings::field_error& fault : loaded.errors) {
        std::cerr << to_string(fault) << "\n";
    }
    if (!loaded.is_valid() || given.is_check_only) {
        return loaded.is_valid() ? exit_ok : exit_failed;
    }
    const system_clock time;
    const boot_clock lease_time;
    const auto builder = gateway::gateway_builder{}
                             .settings(loaded.value)
                             .settings_file(given.settings_file)
                             .time(time)
                             .lease_time(lease_time)
                             .platform(platform::binding())
                             .log_output(logging::output_to(STDOUT_FILENO));
    const auto running =
        build_gateway(builder, time, loaded.value.bounds.shutdown + address_release_time);
    if (!running) {
        std::cerr << "cicadahatchd: can't start: " << running.error().message() << "\n";
        return is_end_requested() ? exit_ok : exit_failed;
    }
    unblock_signals(signals);
    const bool is_whole = (*running)->run();
    // A call to the store that is under way must not hold up the end.
    std::_Exit(is_whole ? exit_ok : exit_cut_off);
}

int serve(const settings::daemon_settings& configured, const sigset_t& signals) {
    const system_clock time;
    auto running = serving::daemon_builder{}.settings(configured).time(time).build();
    if (!running) {
        LOG(ERROR) << "serving: can't start: " << running.error().message();
        return exit_failed;
    }
    std::printf(
        "ready callers=%s admin=%s peers=%s\n", to_string((*running)->callers_place()).c_str(),
        to_string((*running)->admin_place()).c_str(), to_string((*running)->peers_place()).c_str());
    std::fflush(stdout);
    int received = 0;
    do {
        sigwait(&signals, &received);
    } while (received == SIGHUP); // There is nothing to reload.
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-cstyle-cast): the C library's macro has the cast
    std::signal(SIGHUP, SIG_IGN);
    // A second signal ends the process at once.
    unblock_signals(signals);
    const bool is_whole = (*running)->shut_down();
    google::FlushLogFiles(google::INFO);
    // Threads that still wait for a dead backend server must not hold up the end.
    std::_Exit(is_whole ? exit_ok : exit_cut_off);
}

} // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): only lack of memory is left to escape
int main(int argc, char** argv) {
    const sigset_t signals = block_signals();
    cxxopts::Options described = describe();
    arguments given;
    try {
        const auto parsed = described.parse(argc, argv);
        const auto files = parsed.count("settings") + parsed.count("gateway");
        if (parsed.count("help") != 0 || files != 1) {
            std::cout << described.help();
            return parsed.count("help") != 0 ? exit_ok : exit_usage;
        }
        given.is_gateway = parsed.count("gateway") != 0;
        given.settings_file = parsed[given.is_gateway ? "gateway" : "settings"].as<std::string>();
        given.is_check_only = parsed.count("check-settings") != 0;
    } catch (const cxxopts::exceptions::exception& fault) {
        std::cerr << "cicadahatchd: " << fault.what() << "\n";
        return exit_usage;
    }
    if (given.is_gateway) {
        return run_gateway(given, signals);
    }
    const auto configured = settings::load_daemon_settings(given.settings_file);
    for (const settings::field_error& fault : configured.errors) {
        std::cerr << to_string(fault) << "\n";
    }
    if (!configured.is_valid()) {
        return exit_failed;
    }
    if (given.is_check_only) {
        return exit_ok;
    }
    start_logging(argv[0], configured.value);
    return serve(configured.value, signals);
}
