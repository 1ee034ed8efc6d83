#include "review/standins/store_path.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
#include <thread>

namespace review {

namespace {

constexpr std::size_t read_bytes = 65536;
constexpr milliseconds poll_period{5};

void reset(tcp::socket& socket) {
    net_error ignored; // The peer may have closed it.
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.shutdown(tcp::socket::shutdown_both, ignored);
}

} // namespace

store_path::store_path(std::uint16_t store_port)
    : store_port_(store_port), server_([this](tcp::socket& from) { serve(from); }) {}

void store_path::cut() {
    const std::lock_guard lock{mutex_};
    is_cut_ = true;
    for (tcp::socket* socket : open_) {
        reset(*socket);
    }
}

void store_path::heal() {
    const std::lock_guard lock{mutex_};
    has_answered_ = false;
    is_cut_ = false;
}

clock::time_point store_path::wait_for_answer() {
    while (!has_answered_) {
        std::this_thread::sleep_for(poll_period);
    }
    return clock::now();
}

void store_path::serve(tcp::socket& from) {
    boost::asio::io_context loop;
    tcp::socket to{loop};
    net_error error;
    to.connect({boost::asio::ip::make_address(loopback), store_port_}, error);
    {
        const std::lock_guard lock{mutex_};
        if (is_cut_ || error) {
            reset(from);
            return;
        }
        open_.insert(&from);
        open_.insert(&to);
    }
    std::thread answers{[&] { forward(to, from, true); }};
    forward(from, to, false);
    answers.join();
    const std::lock_guard lock{mutex_};
    open_.erase(&from);
    open_.erase(&to);
}

void store_path::forward(tcp::socket& from, tcp::socket& to, bool is_answer) {
    std::array<char, read_bytes> bytes{};
    net_error error;
    while (!error) {
        const std::size_t received = from.read_some(boost::asio::buffer(bytes), error);
        if (!error) {
            boost::asio::write(to, boost::asio::buffer(bytes.data(), received), error);
            has_answered_ = has_answered_ || is_answer;
        }
    }
    net_error ignored; // The other direction may have closed it.
    from.shutdown(tcp::socket::shutdown_both, ignored);
    to.shutdown(tcp::socket::shutdown_both, ignored);
}

} // namespace review
