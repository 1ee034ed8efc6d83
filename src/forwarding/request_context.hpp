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

/// \brief Why a request is given up before its answer is whole.
enum class ending : std::uint8_t {
    none,        ///< it is not
    caller_left, ///< nobody waits for the answer any more
    time_over    ///< the caller's patience or the route's timeout has passed
};

[[nodiscard]] const char* to_string(ending reason) noexcept;

/// \brief A caller's request with everything that has to be given up with it.
class request_context : public std::enable_shared_from_this<request_context> {
public:
    request_context(asio::io_context& loop, routing::route_table_ptr table,
                    const routing::route& of, request_metadata metadata, time_point arrived);

    [[nodiscard]] const routing::route& route() const noexcept { return *route_; }
    [[nodiscard]] const routing::route_table& table() const noexcept { return *table_; }
    [[nodiscard]] const request_metadata& metadata() const noexcept { return metadata_; }
    [[nodiscard]] time_point arrived() const noexcept { return arrived_; }
    /// \returns when the final answer is due: the caller's patience or the route's timeout
    [[nodiscard]] time_point deadline() const noexcept { return ends_at_; }
    [[nodiscard]] ending ended() const noexcept { return ended_; }
    [[nodiscard]] bool is_ended() const noexcept { return ended_ != ending::none; }

    /// \brief Has the request end when its time is over.
    void start_timer();
    void stop_timer();

    /// \brief Gives up the request: cancels the exchanges that are open.
    void end(ending reason);

    /// \brief Has the exchange cancelled when the request ends; at once if it has.
    void attach(const connection_ptr& opened);
    void detach(const connection_ptr& closed);

    /// \brief Has something else done when the request ends; replaces what was set before.
    void set_end_handler(std::function<void()> called) { on_end_ = std::move(called); }

    /// \brief Notes that a part of the answer has gone to the caller.
    void note_answer(time_point at);
    /// \returns when the answer began; the epoch if it has not
    [[nodiscard]] time_point answered_at() const noexcept { return answered_at_; }
    /// \returns the longest time between two parts of the answer
    [[nodiscard]] duration longest_gap() const noexcept { return longest_gap_; }

    backend_request message; ///< as the caller sent it, without the fields of its connection

private:
    routing::route_table_ptr table_;
    const routing::route* route_;
    request_metadata metadata_;
    time_point arrived_;
    time_point ends_at_;
    asio::steady_timer timer_;
    ending ended_ = ending::none;
    std::vector<connection_ptr> open_;
    std::function<void()> on_end_;
    time_point answered_at_;
    time_point last_part_at_;
    duration longest_gap_{0};
};

using request_context_ptr = std::shared_ptr<request_context>;

} // namespace cicadahatch::forwarding
