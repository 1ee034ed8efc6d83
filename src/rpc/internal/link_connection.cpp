#include "src/rpc/internal/link_connection.hpp"

#include "src/http/internal/library.hpp"
#include "src/rpc/error.hpp"
#include "src/rpc/internal/acknowledgement.hpp"
#include "src/rpc/internal/constants.hpp"

#include <algorithm>
#include <array>
#include <civetweb.h>

namespace cicadahatch::rpc::internal {

namespace {

constexpr std::size_t error_text_bytes = 256;
constexpr int keep_open = 1;
constexpr int close_now = 0;
constexpr int opcode_mask = 0x0f;
constexpr unsigned final_binary_frame = 0x82;
constexpr unsigned masked = 0x80;
constexpr std::size_t longest_short_payload = 125;
constexpr std::size_t longest_medium_payload = 65'535;
constexpr unsigned medium_length_mark = 126;
constexpr unsigned long_length_mark = 127;
constexpr unsigned byte_bits = 8;
constexpr std::size_t medium_length_bytes = 2;
constexpr std::size_t long_length_bytes = 8;

/// A masked binary frame (RFC 6455). CivetWeb writes head and payload apart, and the second write
/// then waits some 40 ms for the peer's delayed acknowledgement; one write does not. The mask
/// protects proxies from scripts in browsers, so zeros do between daemons.
std::string make_frame(const std::string& payload) {
    std::string frame;
    frame += static_cast<char>(final_binary_frame);
    std::size_t length_bytes = 0;
    if (payload.size() <= longest_short_payload) {
        frame += static_cast<char>(masked | payload.size());
    } else if (payload.size() <= longest_medium_payload) {
        frame += static_cast<char>(masked | medium_length_mark);
        length_bytes = medium_length_bytes;
    } else {
        frame += static_cast<char>(masked | long_length_mark);
        length_bytes = long_length_bytes;
    }
    for (std::size_t left = length_bytes; left > 0; --left) {
        frame += static_cast<char>(payload.size() >> (byte_bits * (left - 1)));
    }
    frame.append(mask_bytes, '\0');
    return frame + payload;
}

} // namespace

link_connection::~link_connection() {
    if (connection_ == nullptr) {
        return;
    }
    // CivetWeb's reading thread looks at its stop flag only every two seconds; the peer's answer
    // to a close frame ends it at once.
    if (!is_closed()) {
        mg_websocket_client_write(connection_, MG_WEBSOCKET_OPCODE_CONNECTION_CLOSE, nullptr, 0);
    }
    mg_close_connection(connection_);
}

result<std::unique_ptr<link_connection>> link_connection::open(const http::endpoint& place,
                                                               const http::client_tls& tls,
                                                               const std::string& path) {
    http::internal::ensure_library();
    std::unique_ptr<link_connection> opened{new link_connection};
    std::array<char, error_text_bytes> text{};
    if (tls.server_ca.empty()) {
        opened->connection_ =
            mg_connect_websocket_client(place.host.c_str(), place.port, 0, text.data(), text.size(),
                                        path.c_str(), nullptr, on_data, on_close, opened.get());
    } else {
        mg_client_options options{};
        options.host = place.host.c_str();
        options.port = place.port;
        options.client_cert = tls.certificate.empty() ? nullptr : tls.certificate.c_str();
        options.server_cert = tls.server_ca.c_str();
        opened->connection_ =
            mg_connect_websocket_client_secure(&options, text.data(), text.size(), path.c_str(),
                                               nullptr, on_data, on_close, opened.get());
    }
    if (opened->connection_ == nullptr) {
        return failure(errc::not_connected);
    }
    return opened;
}

result<exchanged_bytes> link_connection::deliver(std::uint64_t sequence, const std::string& bytes,
                                                 std::chrono::milliseconds timeout) {
    if (is_closed()) {
        return failure(errc::not_connected);
    }
    const std::string frame = make_frame(deflater_ ? deflater_->deflate(bytes) : bytes);
    {
        const std::lock_guard lock{mutex_};
        under_way_ = sequence;
    }
    mg_lock_connection(connection_);
    const int written = mg_write(connection_, frame.data(), frame.size());
    mg_unlock_connection(connection_);
    if (written <= 0) {
        return failure(errc::not_acknowledged);
    }
    std::unique_lock lock{mutex_};
    changed_.wait_for(lock, timeout, [&] { return acknowledged_ >= sequence || is_closed_; });
    if (acknowledged_ < sequence) {
        return failure(errc::not_acknowledged);
    }
    if (peer_inflates_ && deflater_ == nullptr) {
        deflater_ = std::make_unique<batch_deflater>();
    }
    return exchanged_bytes{frame.size(), frame_head_bytes(answer_bytes_) + answer_bytes_};
}

bool link_connection::is_closed() const {
    const std::lock_guard lock{mutex_};
    return is_closed_;
}

int link_connection::on_data(mg_connection* /*connection*/, int bits, char* data, std::size_t size,
                             void* self) {
    auto& owner = *static_cast<link_connection*>(self);
    if ((bits & opcode_mask) != MG_WEBSOCKET_OPCODE_BINARY) {
        return (bits & opcode_mask) == MG_WEBSOCKET_OPCODE_CONNECTION_CLOSE ? close_now : keep_open;
    }
    return owner.is_acknowledged({data, size}) ? keep_open : close_now;
}

bool link_connection::is_acknowledged(std::string_view answer) {
    const bool is_short = answer == short_acknowledgement;
    const auto sequence = is_short ? std::nullopt : decode_acknowledgement(answer);
    if (!is_short && !sequence) {
        return false;
    }
    const std::lock_guard lock{mutex_};
    peer_inflates_ = peer_inflates_ || is_short;
    acknowledged_ = std::max(acknowledged_, sequence.value_or(under_way_));
    answer_bytes_ = answer.size();
    changed_.notify_all();
    return true;
}

void link_connection::on_close(const mg_connection* /*connection*/, void* self) {
    auto& owner = *static_cast<link_connection*>(self);
    const std::lock_guard lock{owner.mutex_};
    owner.is_closed_ = true;
    owner.changed_.notify_all();
}

} // namespace cicadahatch::rpc::internal
