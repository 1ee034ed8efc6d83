#pragma once

#include "src/forwarding/gateway_state.hpp"
#include "src/forwarding/request_context.hpp"
#include "src/forwarding/stall.hpp"

#include <functional>
#include <memory>

namespace cicadahatch::forwarding {

/// \brief Checks the engine of a resumable stream while the stream is silent, and ends the exchange
/// with errc::timed_out once the engine is unreachable and the stream may go on elsewhere.
///
/// It ends with the scope.
class stall_watch {
public:
    /// \param may_leave whether the stream may go on at another engine; called within the scope
    /// only
    stall_watch(gateway_state& state, request_context_ptr request, connection_ptr connection,
                discovery::backend engine, std::function<bool()> may_leave);
    stall_watch(const stall_watch&) = delete;
    stall_watch& operator=(const stall_watch&) = delete;
    stall_watch(stall_watch&&) = delete;
    stall_watch& operator=(stall_watch&&) = delete;
    ~stall_watch();

    /// \brief Records an event. The first one starts the watch of a resumable stream.
    void record_event();

private:
    struct watched_stream;
    using watched_stream_ptr = std::shared_ptr<watched_stream>;

    [[nodiscard]] static asio::awaitable<void> run(gateway_state& state,
                                                   watched_stream_ptr watched);

    gateway_state& state_;
    watched_stream_ptr watched_;
    bool is_started_ = false;
};

} // namespace cicadahatch::forwarding
