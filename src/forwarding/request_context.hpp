#pragma once

#include "src/core/clock.hpp"
#include "src/forwarding/asio.hpp"
#include "src/forwarding/backend_connection.hpp"
#include "src/forwarding/wire_protocol.hpp"
#include "src/routing/route_table.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadahatch::forwarding {

/// \brief Why a request has ended before its response was complete.
enum class request_end_reason : std::uint8_t {
    none,             ///< in progress, or ended with a response
    caller_left,      ///< the caller has disconnected
    time_over,        ///< the caller's or the route's timeout has passed
    access_withdrawn, ///< a newer configuration has withdrawn the caller's key
    stopping          ///< the daemon is about to exit
};

[[nodiscard]] const char* to_string(request_end_reason reason) noexcept;

/// \brief A caller's request with the exchanges to cancel when it ends.
class request_context : public std::enable_shared_from_this<request_context> {
public:
    request_context(asio::io_context& loop, routing::route_table_ptr table,
                    const routing::route& matched_route, request_metadata metadata,
                    time_point arrived, const routing::team* owner = nullptr);

    [[nodiscard]] const routing::route& route() const noexcept { return *route_; }
    [[nodiscard]] const routing::route_table& table() const noexcept { return *table_; }
    /// \returns the caller's team; null if unknown
    [[nodiscard]] const routing::team* owner() const noexcept { return owner_; }
    [[nodiscard]] const request_metadata& metadata() const noexcept { return metadata_; }
    [[nodiscard]] time_point arrived() const noexcept { return arrived_; }
    /// \returns when the request times out: the earlier of the caller's and the route's timeout
    [[nodiscard]] time_point deadline() const noexcept { return deadline_; }
    [[nodiscard]] request_end_reason end_reason() const noexcept { return end_reason_; }
    [[nodiscard]] bool is_ended() const noexcept { return end_reason_ != request_end_reason::none; }

    /// \brief Ends the request at its deadline.
    void start_timer();
    void stop_timer();

    /// \brief Ends the request and cancels its open exchanges.
    void end(request_end_reason reason);

    /// \brief Cancels the connection when the request ends, or at once if it has ended.
    void attach(const connection_ptr& connection);
    void detach(const connection_ptr& connection);

    /// \brief Sets the function called when the request ends; replaces the previous one.
    void set_end_handler(std::function<void()> handler) { end_handler_ = std::move(handler); }

    /// \brief Records the time of a response part sent to the caller.
    void record_response_part(time_point at);
    [[nodiscard]] bool has_response_begun() const noexcept {
        return first_part_at_ != time_point{};
    }
    /// \returns when the first part was sent; the epoch if none was
    [[nodiscard]] time_point first_part_at() const noexcept { return first_part_at_; }
    /// \returns the longest time between two parts
    [[nodiscard]] duration longest_gap() const noexcept { return longest_gap_; }

    backend_request message; ///< the caller's request without its hop-by-hop fields

private:
    routing::route_table_ptr table_;
    const routing::route* route_;
    const routing::team* owner_;
    request_metadata metadata_;
    time_point arrived_;
    time_point deadline_;
    asio::steady_timer timer_;
    request_end_reason end_reason_ = request_end_reason::none;
    std::vector<connection_ptr> open_;
    std::function<void()> end_handler_;
    time_point first_part_at_;
    time_point last_part_at_;
    duration longest_gap_{0};
};

using request_context_ptr = std::shared_ptr<request_context>;

} // namespace cicadahatch::forwarding
