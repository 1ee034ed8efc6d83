#pragma once

#include "cicadahatch/store"

#include <functional>

namespace cicadahatch::test_support {

/// \brief A store that others change right before a listing or watch. Used by one thread.
class interleaved_store final : public store::key_value_store {
public:
    /// \param before called with the ordinal number of the call, from 1
    interleaved_store(store::key_value_store& kept, std::function<void(std::uint64_t)> before)
        : kept_(kept), before_(std::move(before)) {}

    [[nodiscard]] result<std::optional<store::entry>> get(const std::string& key) override {
        return kept_.get(key);
    }
    [[nodiscard]] result<store::listing> list(const std::string& prefix) override {
        before_(++calls_);
        return kept_.list(prefix);
    }
    [[nodiscard]] result<store::swap_outcome> swap(const std::string& key, revision expected,
                                                   const std::string& value,
                                                   store::lease_id lease) override {
        return kept_.swap(key, expected, value, lease);
    }
    [[nodiscard]] result<store::swap_outcome> erase(const std::string& key,
                                                    revision expected) override {
        return kept_.erase(key, expected);
    }
    [[nodiscard]] result<store::lease_id> grant_lease(std::chrono::seconds time_to_live) override {
        return kept_.grant_lease(time_to_live);
    }
    [[nodiscard]] result<std::chrono::seconds> keep_alive(store::lease_id lease) override {
        return kept_.keep_alive(lease);
    }
    [[nodiscard]] result<void> revoke_lease(store::lease_id lease) override {
        return kept_.revoke_lease(lease);
    }
    [[nodiscard]] result<store::change_batch> watch(const std::string& prefix, revision from,
                                                    std::chrono::milliseconds wait) override {
        before_(++calls_);
        return kept_.watch(prefix, from, wait);
    }

private:
    store::key_value_store& kept_;
    std::function<void(std::uint64_t)> before_;
    std::uint64_t calls_ = 0;
};

} // namespace cicadahatch::test_support
