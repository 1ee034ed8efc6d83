#pragma once

#include "cicadahatch/platform"
#include "test/support/memory_store.hpp"

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace cicadahatch::test_support {

/// \brief What happens to the next write.
enum class write_fate { applied, reply_lost, late, unavailable };

/// \brief A store whose writes may lose their reply or take effect later, when told to.
class late_write_store final : public platform::store {
public:
    explicit late_write_store(const clock& time) : kept_(time) {}

    /// \brief Decides the next call: reads are applied or unavailable.
    void decide(write_fate fate) { fate_ = fate; }
    [[nodiscard]] bool has_late_write() const { return !late_.empty(); }
    /// \brief The oldest late write reaches the store now.
    void land() {
        const late_write landed = std::move(late_.front());
        late_.pop_front();
        std::ignore = kept_.swap(landed.key, landed.expected, landed.value, {});
    }

    [[nodiscard]] result<std::optional<platform::entry>> get(const std::string& key) override {
        return is_away() ? tl::unexpected(away()) : kept_.get(key);
    }
    [[nodiscard]] result<platform::listing> list(const std::string& prefix) override {
        return is_away() ? tl::unexpected(away()) : kept_.list(prefix);
    }
    [[nodiscard]] result<platform::swap_outcome> swap(const std::string& key, revision expected,
                                                      const std::string& value,
                                                      platform::lease_id lease) override {
        switch (std::exchange(fate_, write_fate::applied)) {
        case write_fate::unavailable:
            return tl::unexpected(away());
        case write_fate::late:
            late_.push_back({key, expected, value});
            return failure(platform::errc::outcome_unknown);
        case write_fate::reply_lost:
            std::ignore = kept_.swap(key, expected, value, lease);
            return failure(platform::errc::outcome_unknown);
        case write_fate::applied:
            break;
        }
        return kept_.swap(key, expected, value, lease);
    }
    [[nodiscard]] result<platform::swap_outcome> erase(const std::string& key,
                                                       revision expected) override {
        return is_away() ? tl::unexpected(away()) : kept_.erase(key, expected);
    }
    [[nodiscard]] result<platform::lease_id> grant_lease(std::chrono::seconds time) override {
        return kept_.grant_lease(time);
    }
    [[nodiscard]] result<std::chrono::seconds> keep_alive(platform::lease_id lease) override {
        return kept_.keep_alive(lease);
    }
    [[nodiscard]] result<void> revoke_lease(platform::lease_id lease) override {
        return kept_.revoke_lease(lease);
    }
    [[nodiscard]] result<platform::change_batch> watch(const std::string& prefix, revision from,
                                                       std::chrono::milliseconds wait) override {
        return kept_.watch(prefix, from, wait);
    }

private:
    struct late_write {
        std::string key;
        revision expected;
        std::string value;
    };

    bool is_away() { return std::exchange(fate_, write_fate::applied) == write_fate::unavailable; }
    static std::error_code away() { return make_error_code(platform::errc::unavailable); }

    memory_store kept_;
    std::deque<late_write> late_;
    write_fate fate_ = write_fate::applied;
};

} // namespace cicadahatch::test_support
