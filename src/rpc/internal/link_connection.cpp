#include "src/rpc/internal/link_connection.hpp"

#include "src/http/internal/library.hpp"
#include "src/rpc/error.hpp"
#include "src/rpc/internal/acknowledgement.hpp"

#include <algorithm>
#include <array>
#include <civetweb.h>

namespace cicadahatch::rpc::internal {

namespace {

constexpr std::size_t error_text_bytes = 256;
constexpr int keep_open = 1;
constexpr int close_now = 0;
constexpr int opcode_mask = 0x0f;

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

result<void> link_connection::deliver(std::uint64_t sequence, const std::string& bytes,
                                      std::chrono::milliseconds timeout) {
    if (is_closed()) {
        return failure(errc::not_connected);
    }
    const int written = mg_websocket_client_write(connection_, MG_WEBSOCKET_OPCODE_BINARY,
                                                  bytes.data(), bytes.size());
    if (written <= 0) {
        return failure(errc::not_acknowledged);
    }
    std::unique_lock lock{mutex_};
    changed_.wait_for(lock, timeout, [&] { return acknowledged_ >= sequence || is_closed_; });
    if (acknowledged_ < sequence) {
        return failure(errc::not_acknowledged);
    }
    return {};
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
    const auto sequence = decode_acknowledgement({data, size});
    if (!sequence) {
        return close_now;
    }
    const std::lock_guard lock{owner.mutex_};
    owner.acknowledged_ = std::max(owner.acknowledged_, *sequence);
    owner.changed_.notify_all();
    return keep_open;
}

void link_connection::on_close(const mg_connection* /*connection*/, void* self) {
    auto& owner = *static_cast<link_connection*>(self);
    const std::lock_guard lock{owner.mutex_};
    owner.is_closed_ = true;
    owner.changed_.notify_all();
}

} // namespace cicadahatch::rpc::internal
