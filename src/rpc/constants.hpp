#pragma once

#include <chrono>
#include <cstddef>

namespace cicadahatch::rpc {

/// Largest encoded batch that is sent or accepted, in bytes.
inline constexpr std::size_t max_batch_bytes = 1'500'000;

/// Most messages in one batch.
inline constexpr std::size_t max_batch_messages = 512;

/// Most entries of a list inside one message.
inline constexpr std::size_t max_list_entries = 4096;

/// Longest opaque value inside a message, in bytes.
inline constexpr std::size_t max_opaque_bytes = 1'048'576;

/// Messages waiting for one peer; more are refused with errc::outbox_full.
inline constexpr std::size_t max_outbox_messages = 16'384;

/// Senders whose last sequence number is remembered.
inline constexpr std::size_t max_remembered_senders = 4096;

/// Time for which prompt messages gather before they are sent.
inline constexpr std::chrono::milliseconds prompt_flush_delay{5};

/// Time for which deferrable messages wait for a prompt one to travel with.
inline constexpr std::chrono::milliseconds deferrable_flush_delay{50};

/// Longest wait for the peer to take a batch before the connection is replaced.
inline constexpr std::chrono::milliseconds acknowledgement_timeout{500};

/// Time after which messages that no peer has taken are given back as lost.
inline constexpr std::chrono::milliseconds delivery_timeout{2'000};

/// Pause between two tries to connect.
inline constexpr std::chrono::milliseconds reconnect_pause{100};

/// Time after which the connection of an idle link is closed.
inline constexpr std::chrono::seconds idle_link_timeout{60};

} // namespace cicadahatch::rpc
