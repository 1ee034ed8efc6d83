#pragma once

#include "src/core/strong_id.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cicadahatch::metrics {

/// \brief Name of a counter or gauge in the text exposition: letters, digits and underscores.
using metric_name = name_id<struct metric_tag>;

/// \brief A number that only grows. Safe for use by several threads.
class counter {
public:
    void add(std::uint64_t amount = 1) noexcept {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value() const noexcept {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// \brief A number that goes up and down. Safe for use by several threads.
class gauge {
public:
    void set(std::int64_t value) noexcept { value_.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) noexcept { value_.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::int64_t value() const noexcept {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> value_{0};
};

/// \brief One value of a registry, with its help text.
struct metric_reading {
    metric_name name;
    std::string help;
    std::int64_t value = 0;
    bool is_counter = false;
};

/// \brief The counters and gauges of a process, created on first use and kept for its life.
class registry {
public:
    /// \param name valid in the text exposition and not in use for a gauge
    /// \returns the counter of that name; keep the reference on hot paths
    counter& counter_of(const metric_name& name, const std::string& help);
    /// \param name valid in the text exposition and not in use for a counter
    gauge& gauge_of(const metric_name& name, const std::string& help);

    /// \returns all values, in the order of their names
    [[nodiscard]] std::vector<metric_reading> read() const;

private:
    struct row {
        std::string help;
        std::unique_ptr<counter> counted;
        std::unique_ptr<gauge> gauged;
    };

    mutable std::mutex mutex_;
    std::map<metric_name, row> rows_;
};

} // namespace cicadahatch::metrics
