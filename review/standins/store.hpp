#pragma once

#include "review/standins/wire.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace review {

/// \brief Stand-in of the platform's metadata store: items, leases, transactions and watches as
/// PROTOCOL.md states them. It is always up, and loses and delays nothing.
class store {
public:
    store();
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    /// \brief Writes as the operator and the engines do.
    void put(const std::string& key, const json& value);
    void remove(const std::string& key);

private:
    struct item {
        std::string value; ///< base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct lease {
        milliseconds length{0};
        clock::time_point ends;
    };

    void serve(tcp::socket& from);
    http_response answer(const http_request& asked);
    http_response answer_range(const std::string& prefix, const std::string& after);
    http_response answer_watch(const std::string& prefix, std::uint64_t after, milliseconds wait);
    http_response answer_transaction(const json& asked);
    http_response answer_lease(const http_request& asked, const std::string& path);
    json to_json(const std::string& key, const item& held) const;
    // The functions below are called with the mutex held.
    void set(const std::string& key, const std::string& value, std::uint64_t lease_number);
    void erase(const std::string& key);
    void end_lease(std::uint64_t number);
    void expire();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::map<std::uint64_t, lease> leases_;
    std::deque<json> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t next_lease_ = 1;
    server server_; ///< last: its threads use the members above
};

} // namespace review
