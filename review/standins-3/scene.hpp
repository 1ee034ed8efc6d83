#pragma once

#include "test/support/platform_stub.hpp"
#include "test/support/process.hpp"
#include "test/support/reserved_port.hpp"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <vector>

/// \file
/// \brief What the cases of the review share: daemons as separate processes before the project's
/// stub of the platform, callers over TCP, and the record of a run.

namespace review {

using namespace std::chrono_literals;
using namespace cicadahatch;
using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

/// \returns whether the case plays its disruption
inline bool has_trouble() {
    // NOLINTNEXTLINE(concurrency-mt-unsafe): read before any thread starts
    const char* stated = std::getenv("TROUBLE");
    return stated == nullptr || std::string{stated} != "0";
}

/// \brief Writes what happened, with seconds since the start of the case.
class record {
public:
    explicit record(const std::string& file) : file_(file) {}

    void write(const std::string& line) {
        const std::lock_guard lock{mutex_};
        const double at = std::chrono::duration<double>(steady::now() - began_).count();
        std::array<char, 32> stamp{};
        std::snprintf(stamp.data(), stamp.size(), "%9.3f s  ", at);
        file_ << stamp.data() << line << '\n' << std::flush;
    }

private:
    steady::time_point began_ = steady::now();
    std::mutex mutex_;
    std::ofstream file_;
};

/// \brief A caller's connection; unlike the tests' one it survives a daemon that is not there.
class caller {
public:
    explicit caller(const http::endpoint& place, milliseconds timeout = 2000ms)
        : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const timeval limit{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(place.port);
        inet_pton(AF_INET, place.host.c_str(), &address.sin_addr);
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): asked by the interface
        const auto* generic = reinterpret_cast<const sockaddr*>(&address);
        is_connected_ = connect(descriptor_, generic, sizeof address) == 0;
    }
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    caller(caller&&) = delete;
    caller& operator=(caller&&) = delete;
    ~caller() { close(descriptor_); }

    [[nodiscard]] bool is_connected() const { return is_connected_; }
    bool send(const std::string& bytes) const {
        std::size_t sent = 0;
        while (is_connected_ && sent < bytes.size()) {
            const ssize_t taken =
                ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (taken <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(taken);
        }
        return is_connected_;
    }
    /// \returns what has come, empty at the end of the connection or at the timeout
    [[nodiscard]] std::string receive_some() const {
        std::array<char, 16384> buffer{};
        const ssize_t got = recv(descriptor_, buffer.data(), buffer.size(), 0);
        return got <= 0 ? std::string{} : std::string{buffer.data(), static_cast<std::size_t>(got)};
    }
    [[nodiscard]] std::string receive_all() const {
        std::string received;
        for (std::string bytes = receive_some(); !bytes.empty(); bytes = receive_some()) {
            received += bytes;
        }
        return received;
    }

private:
    int descriptor_;
    bool is_connected_ = false;
};

/// \returns the status of a response; 0 if there is none
inline int status_of(const std::string& response) {
    constexpr std::size_t status_at = 9;
    return response.size() > status_at + 3 ? std::atoi(response.c_str() + status_at) : 0;
}

/// \returns a request that ends its connection
inline std::string request_text(const std::string& method, const std::string& target,
                                const std::string& id, milliseconds deadline,
                                const std::string& fields = {}) {
    return method + " " + target +
           " HTTP/1.1\r\nHost: t.example\r\nX-Cicadahatch-Attempt-Id: " + id +
           "\r\nX-Cicadahatch-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n" + fields +
           "Connection: close\r\n\r\n";
}

/// \brief Daemons before a stub of the platform. Its engines and its store follow the pages.
struct deployment {
    struct member {
        std::string name;
        json settings;
        std::filesystem::path file;
        std::optional<test_support::process> daemon;
        [[nodiscard]] http::endpoint callers() const {
            return http::parse_endpoint(settings.at("callers").get<std::string>()).value();
        }
    };

    test_support::platform_stub stub;
    std::filesystem::path folder;
    std::vector<std::unique_ptr<member>> members;

    deployment() {
        std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
        if (mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        folder = pattern;
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;
    ~deployment() {
        members.clear();
        std::error_code ignored; // Files that are left over are harmless.
        std::filesystem::remove_all(folder, ignored);
    }

    static std::string free_place() {
        return "127.0.0.1:" + std::to_string(test_support::reserve_port());
    }

    /// Settings as deploy/settings.json renders them.
    member& add(const std::string& name, const std::string& zone, const json& limits,
                const json& bounds) {
        auto added = std::make_unique<member>();
        added->name = name;
        added->settings = {{"name", name},
                           {"domain", zone},
                           {"callers", free_place()},
                           {"readiness", free_place()},
                           {"peers", free_place()},
                           {"registry", free_place()},
                           {"metrics", free_place()},
                           {"store",
                            {{"address", http::to_string(stub.store())},
                             {"reads_per_second", 2000},
                             {"writes_per_second", 400}}},
                           {"limits", limits},
                           {"bounds", bounds}};
        added->file = folder / (name + ".json");
        std::ofstream{added->file} << added->settings.dump();
        members.push_back(std::move(added));
        return *members.back();
    }
    /// Starts a daemon with the command of the deploy file.
    void start(member& row) const {
        row.daemon = test_support::process::start(
            {"target/programs/cicadahatchd", "--gateway", row.file.string()}, log_of(row));
    }
    [[nodiscard]] std::string log_of(const member& row) const {
        return folder / (row.name + ".log");
    }
    [[nodiscard]] bool has_logged(const member& row, const std::string& text) const {
        std::ifstream file{log_of(row)};
        const std::string log{std::istreambuf_iterator<char>{file}, {}};
        return log.find(text) != std::string::npos;
    }
    [[nodiscard]] static bool is_ready(const member& row) {
        const auto place = http::parse_endpoint(row.settings.at("readiness").get<std::string>());
        const caller asking{*place, 200ms};
        asking.send("GET /cicadahatch/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        return status_of(asking.receive_some()) == 200;
    }
    [[nodiscard]] bool wait_until_ready(milliseconds limit = 15s) const {
        const auto until = steady::now() + limit;
        while (steady::now() < until) {
            bool all = true;
            for (const auto& row : members) {
                all = all && is_ready(*row);
            }
            if (all) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }
};

/// Limits and bounds of the Association's deployment (sites/mddma-hatch.toml).
inline json association_limits() {
    return {{"memory_mb", 110}, {"descriptors", 4100}};
}
inline json association_bounds() {
    return {{"drain_ms", 2000},  {"configuration_ms", 2000}, {"stabilization_ms", 3000},
            {"shutdown_s", 8},   {"retry_ratio", 0.2},       {"retry_extra", 54},
            {"transit_ms", 120}, {"order_lease_ms", 3000},   {"engines_check_fencing", false}};
}

/// Runs a case: its function returns one of the exit codes.
template <class Case>
int run_case(int argc, char** argv, Case play) {
    static_cast<void>(
        std::signal(SIGPIPE, SIG_IGN)); // NOLINT(cppcoreguidelines-pro-type-cstyle-cast)
    if (argc != 2) {
        std::cerr << "usage: " << *argv << " RECORD\n";
        return exit_not_run;
    }
    try {
        record log{argv[1]};
        const int result = play(log);
        log.write(result == exit_held     ? "the rule held"
                  : result == exit_broken ? "the rule was broken"
                                          : "the case could not run");
        return result;
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << '\n';
        return exit_not_run;
    }
}

} // namespace review
