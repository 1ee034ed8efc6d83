#pragma once

#include "cicadahatch/core"
#include "cicadahatch/http"
#include "test/support/memory_store.hpp"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::fake_platform {

/// \brief What the fake does with requests to the key-value service until told otherwise.
enum class mode { none, unavailable, slow, lose_reply, drop_request, hold_reply };

/// \returns the mode of that name, or nothing
[[nodiscard]] std::optional<mode> parse_mode(const std::string& name);

/// \brief Answers etcd's v3 JSON protocol from a memory_store, and the control requests of tests.
class gateway {
public:
    gateway() : kept_(time_) {}

    /// \brief Answers one request; called by several threads at once.
    void handle(http::exchange& call);

    /// \brief Ends the open watches.
    void stop();

private:
    struct write_outcome {
        std::optional<nlohmann::json> reply;
        std::error_code error;
    };

    void handle_control(http::exchange& call);
    void handle_store(http::exchange& call, const nlohmann::json& asked);
    void answer_watch(http::exchange& call, const nlohmann::json& asked);
    [[nodiscard]] nlohmann::json range(const nlohmann::json& asked);
    [[nodiscard]] write_outcome apply(const std::string& path, const nlohmann::json& asked);
    [[nodiscard]] write_outcome apply_txn(const nlohmann::json& asked);
    [[nodiscard]] nlohmann::json counters();
    [[nodiscard]] mode take_mode(bool is_write);
    /// Holds back the reply of a write that has taken effect, until the mode is set anew.
    void hold();
    void count(const std::string& path, bool is_write);
    void count_second();

    system_clock time_;
    test_support::memory_store kept_;
    std::atomic<bool> is_stopping_{false};
    std::mutex mutex_;
    mode mode_ = mode::none;
    int mode_count_ = -1; ///< requests that still meet the mode; negative: all
    std::chrono::milliseconds delay_{0};
    std::condition_variable released_;
    std::uint64_t releases_ = 0;
    std::uint64_t held_replies_ = 0;
    nlohmann::json vms_ = nlohmann::json::array();
    std::map<std::string, std::uint64_t> calls_by_path_;
    std::uint64_t writes_ = 0;
    std::uint64_t vm_list_reads_ = 0;
    std::uint64_t bytes_answered_ = 0;
    std::vector<std::uint64_t> calls_by_second_; ///< since the first call
    std::optional<time_point> first_call_;
    std::uint64_t open_watches_ = 0;
};

} // namespace cicadahatch::fake_platform
