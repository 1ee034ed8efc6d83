#pragma once

#include "test/support/gateway_fixture.hpp"
#include "test/support/paths.hpp"
#include "test/support/process.hpp"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace cicadahatch::test_support {

/// A gateway as a process of its own, in front of a stub of the platform.
struct gateway_process_fixture {
    platform_stub stub;
    settings::gateway_settings configured;
    std::filesystem::path folder;

    gateway_process_fixture() {
        add_sample_services(stub);
        set_addresses(configured, "d1", stub);
        std::string pattern = std::filesystem::temp_directory_path() / "gateway-XXXXXX";
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        folder = pattern;
        write_settings();
    }
    gateway_process_fixture(const gateway_process_fixture&) = delete;
    gateway_process_fixture& operator=(const gateway_process_fixture&) = delete;
    gateway_process_fixture(gateway_process_fixture&&) = delete;
    gateway_process_fixture& operator=(gateway_process_fixture&&) = delete;
    ~gateway_process_fixture() {
        std::error_code ignored; // Files that are left over are harmless.
        std::filesystem::remove_all(folder, ignored);
    }

    void write_settings() const {
        const nlohmann::json written{{"name", configured.name.str()},
                                     {"domain", configured.domain.str()},
                                     {"callers", configured.callers},
                                     {"readiness", configured.readiness},
                                     {"peers", configured.peers},
                                     {"store", {{"address", configured.store.address}}},
                                     {"limits",
                                      {{"memory_mb", configured.limits.memory_mb},
                                       {"descriptors", configured.limits.descriptors}}},
                                     {"bounds",
                                      {{"shutdown_s", configured.bounds.shutdown.count()},
                                       {"drain_ms", configured.bounds.drain.count()}}}};
        std::ofstream{folder / "settings.json"} << written.dump();
    }
    [[nodiscard]] process start() const {
        return process::start(
            {binary_dir() + "/programs/cicadahatchd", "--gateway", folder / "settings.json"},
            folder / "log");
    }
    [[nodiscard]] std::size_t count_logged(const std::string& text) const {
        std::ifstream file{folder / "log"};
        const std::string log{std::istreambuf_iterator<char>{file}, {}};
        std::size_t count = 0;
        for (std::size_t at = log.find(text); at != std::string::npos;
             at = log.find(text, at + 1)) {
            ++count;
        }
        return count;
    }
    [[nodiscard]] bool has_logged(const std::string& text) const { return count_logged(text) > 0; }
    [[nodiscard]] bool is_serving() const {
        return has_logged("\"ready\":true") && has_logged("home.reached");
    }
    [[nodiscard]] http::endpoint callers() const {
        return http::parse_endpoint(configured.callers).value();
    }
};

} // namespace cicadahatch::test_support
