#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadahatch::forwarding {

/// \brief Splits a byte stream (text/event-stream) into complete events.
///
/// Only complete events are forwarded, so that a stream whose engine fails in the middle of an
/// event can be resumed on another engine.
class event_splitter {
public:
    /// \brief Drops events up to and including this identifier.
    void skip_through(std::uint64_t event_id) { last_event_id_ = event_id; }

    /// \brief Appends received bytes.
    /// \returns the events completed by these bytes, without those returned before
    [[nodiscard]] std::string append(std::string_view bytes);

    /// \brief Discards an incomplete event.
    void discard_partial() { partial_.clear(); }

    /// \returns the bytes of the incomplete event
    [[nodiscard]] const std::string& partial() const noexcept { return partial_; }
    /// \returns the identifier of the last event returned or skipped, if any
    [[nodiscard]] std::optional<std::uint64_t> last_event_id() const noexcept {
        return last_event_id_;
    }
    [[nodiscard]] std::uint64_t event_count() const noexcept { return event_count_; }

private:
    [[nodiscard]] bool accept(std::string_view event);

    std::string partial_;
    std::optional<std::uint64_t> last_event_id_;
    std::uint64_t event_count_ = 0;
};

} // namespace cicadahatch::forwarding
