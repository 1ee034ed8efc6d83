#pragma once

#include "review/standins-2/http.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace standins {

/// \brief The platform's store as the users' PROTOCOL.md tells it: items with revisions, ranges,
/// watches, transactions and leases that run out. Loses nothing and refuses nothing.
class store {
public:
    store();

    [[nodiscard]] std::string address() const { return listener_.address(); }

    /// \brief Writes an item that has no lease, as the operator and the engines do.
    void put(const std::string& key, const nlohmann::json& value);
    /// \returns how many items have keys with this prefix
    [[nodiscard]] std::size_t count(const std::string& prefix);

private:
    struct lease {
        std::chrono::milliseconds time_to_live{0};
        time_point ends_at;
    };
    using answer = std::pair<unsigned, nlohmann::json>;

    bool handle(tcp::socket& socket, const any_request& asked);
    [[nodiscard]] answer respond(const any_request& asked);
    [[nodiscard]] answer watch(const std::string& target);
    // These are called with the mutex held.
    void write(const std::string& key, const std::string& encoded, std::uint64_t lease_number);
    void erase(const std::string& key);
    void end_lease(std::uint64_t number);
    void end_old_leases();
    [[nodiscard]] answer transact(const nlohmann::json& asked);
    [[nodiscard]] answer grant(const nlohmann::json& asked);
    [[nodiscard]] answer renew(std::uint64_t number);
    [[nodiscard]] nlohmann::json items_of(const std::string& prefix) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 1;
    std::uint64_t last_lease_ = 0;
    std::map<std::string, nlohmann::json> items_;
    std::vector<nlohmann::json> history_;
    std::map<std::uint64_t, lease> leases_;
    listener listener_; ///< last, as its threads use the rest
};

} // namespace standins
