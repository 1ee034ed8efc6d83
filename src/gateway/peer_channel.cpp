#include "src/gateway/peer_channel.hpp"

#include "src/rpc/batch.hpp"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/endian/conversion.hpp>

namespace cicadahatch::gateway {

namespace asio = forwarding::asio;
using forwarding::capture_error;
using forwarding::net_error;
using forwarding::tcp;

namespace {

/// The largest batch is a registration of some hundred grants.
constexpr std::uint32_t max_frame_bytes = 1024U * 1024;

/// Limit of unsent data. The connection to a peer that stops reading is closed beyond it.
constexpr std::size_t max_unsent_bytes = 4UL * 1024 * 1024;

using length_bytes = std::array<unsigned char, 4>;

} // namespace

peer_channel::peer_channel(asio::io_context& loop, const clock& time)
    : time_(time), socket_(loop), last_received_at_(time.now()) {}

void peer_channel::accept(tcp::socket socket) {
    socket_ = std::move(socket);
    net_error ignored; // Without the option the connection works, only with more delay.
    socket_.set_option(tcp::no_delay(true), ignored);
    is_open_ = true;
    asio::co_spawn(
        socket_.get_executor(), [self = shared_from_this()] { return self->read_frames(true); },
        asio::detached);
}

void peer_channel::open(const daemon_id& self, const daemon_id& peer, const tcp::endpoint& endpoint,
                        std::function<void()> on_open) {
    peer_ = peer;
    asio::co_spawn(
        socket_.get_executor(),
        [keep = shared_from_this(), endpoint, self, on_open = std::move(on_open)] {
            return keep->connect(endpoint, self, on_open);
        },
        asio::detached);
}

asio::awaitable<void> peer_channel::connect(tcp::endpoint endpoint, daemon_id self,
                                            std::function<void()> on_open) {
    net_error error;
    co_await socket_.async_connect(endpoint, capture_error(error));
    if (error || is_closed_) {
        close();
        co_return;
    }
    net_error ignored; // Without the option the connection works, only with more delay.
    socket_.set_option(tcp::no_delay(true), ignored);
    is_open_ = true;
    last_received_at_ = time_.now();
    queue_frame(self.str());
    on_open();
    co_await read_frames(false);
}

asio::awaitable<bool> peer_channel::read_frame(std::string& frame) {
    length_bytes header{};
    net_error error;
    co_await asio::async_read(socket_, asio::buffer(header), capture_error(error));
    if (error) {
        co_return false;
    }
    const std::uint32_t length = boost::endian::load_big_u32(header.data());
    if (length > max_frame_bytes) {
        co_return false;
    }
    frame.resize(length);
    co_await asio::async_read(socket_, asio::buffer(frame), capture_error(error));
    last_received_at_ = time_.now();
    co_return !error;
}

asio::awaitable<void> peer_channel::read_frames(bool expects_name) {
    const auto self = shared_from_this();
    std::string frame;
    if (expects_name) {
        if (!co_await read_frame(frame)) {
            close();
            co_return;
        }
        peer_ = daemon_id{frame};
    }
    while (co_await read_frame(frame)) {
        const auto received = rpc::decode_batch(frame);
        if (!received) {
            break;
        }
        if (!received->messages.empty() && on_messages_) {
            on_messages_(peer_, received->messages);
        }
    }
    close();
}

void peer_channel::send(std::vector<rpc::message> messages) {
    if (is_open_) {
        queue_frame(rpc::encode_batch({++sequence_, std::move(messages)}));
    }
}

void peer_channel::queue_frame(const std::string& bytes) {
    length_bytes header{};
    boost::endian::store_big_u32(header.data(), static_cast<std::uint32_t>(bytes.size()));
    unsent_.append(header.begin(), header.end());
    unsent_.append(bytes);
    if (unsent_.size() > max_unsent_bytes) {
        close();
        return;
    }
    if (sending_.empty()) {
        write_next();
    }
}

void peer_channel::write_next() {
    sending_.swap(unsent_);
    asio::async_write(socket_, asio::buffer(sending_),
                      [self = shared_from_this()](const net_error& error, std::size_t) {
                          self->sending_.clear();
                          if (error) {
                              self->close();
                          } else if (!self->unsent_.empty()) {
                              self->write_next();
                          }
                      });
}

void peer_channel::close() {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    is_open_ = false;
    net_error ignored; // The connection is discarded in any case.
    socket_.close(ignored);
    if (on_close_) {
        on_close_(peer_);
    }
}

} // namespace cicadahatch::gateway
