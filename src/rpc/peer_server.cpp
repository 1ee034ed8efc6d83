#include "src/rpc/peer_server.hpp"

#include "src/core/macros.hpp"
#include "src/http/client.hpp"
#include "src/http/internal/library.hpp"
#include "src/rpc/batch.hpp"
#include "src/rpc/error.hpp"
#include "src/rpc/internal/acknowledgement.hpp"
#include "src/rpc/internal/constants.hpp"
#include "src/rpc/internal/deflate.hpp"
#include "src/rpc/internal/link_proof.hpp"
#include "src/rpc/sequence_filter.hpp"

#include <atomic>
#include <civetweb.h>
#include <glog/logging.h>
#include <string_view>
#include <thread>
#include <vector>

namespace cicadahatch::rpc {

namespace {

constexpr int accept_link = 0;
constexpr int refuse_link = 1;
constexpr int keep_open = 1;
constexpr int close_now = 0;
constexpr int opcode_mask = 0x0f;
constexpr int refusals_per_log_line = 100;

/// A link as the listener holds it; used by the connection's thread only.
struct incoming_link {
    internal::link_ends ends;
    bool is_deflate_offered = false;
    std::unique_ptr<internal::batch_inflater> inflater; ///< after the first batch, if offered
};

} // namespace

struct peer_server::state {
    explicit state(peer_server_builder built) : settings(std::move(built)) {}

    [[nodiscard]] bool start();
    [[nodiscard]] bool is_admitted(const internal::link_ends& ends);
    [[nodiscard]] int take(mg_connection* connection, incoming_link& link, std::string_view frame);
    [[nodiscard]] bool take_batch(const internal::link_ends& ends, batch taken);
    [[nodiscard]] bool acknowledge(mg_connection* connection, incoming_link& link,
                                   std::uint64_t sequence);

    static int on_connect(const mg_connection* connection, void* self);
    static int on_data(mg_connection* connection, int bits, char* data, std::size_t size,
                       void* self);
    static void on_close(const mg_connection* connection, void* self);

    const peer_server_builder settings;
    mg_context* context = nullptr;
    http::endpoint place;
    sequence_filter filter;
    std::atomic<std::uint64_t> refused_links{0};
    std::atomic<std::uint64_t> repeated_batches{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> batches{0};
    std::atomic<std::uint64_t> messages{0};
    std::atomic<std::uint64_t> connections{0};
};

bool peer_server::state::start() {
    http::internal::ensure_library();
    const bool is_tls = !settings.tls_.certificate.empty();
    const std::string port = http::to_string(settings.place_) + (is_tls ? "s" : "");
    const std::string threads = std::to_string(settings.threads_);
    std::vector<const char*> options = {"listening_ports", port.c_str(),  "num_threads",
                                        threads.c_str(),   "tcp_nodelay", "1"};
    if (is_tls) {
        options.insert(options.end(), {"ssl_certificate", settings.tls_.certificate.c_str(),
                                       "ssl_protocol_version", http::internal::tls_1_2_or_later});
    }
    if (is_tls && !settings.tls_.peer_ca.empty()) {
        options.insert(options.end(),
                       {"ssl_verify_peer", "yes", "ssl_ca_file", settings.tls_.peer_ca.c_str(),
                        "ssl_default_verify_paths", http::internal::no_system_authorities});
    }
    options.push_back(nullptr);
    const mg_callbacks callbacks{};
    context = mg_start(&callbacks, nullptr, options.data());
    if (context == nullptr) {
        return false;
    }
    mg_server_port opened{};
    mg_get_server_ports(context, 1, &opened);
    place = {settings.place_.host, static_cast<std::uint16_t>(opened.port)};
    mg_set_websocket_handler(context, internal::link_uri.data(), on_connect, nullptr, on_data,
                             on_close, this);
    return true;
}

bool peer_server::state::is_admitted(const internal::link_ends& ends) {
    const bool is_for_us = ends.recipient.empty() || ends.recipient == settings.self_;
    return is_for_us && filter.admits(ends.sender, ends.sender_incarnation);
}

int peer_server::state::on_connect(const mg_connection* connection, void* self) {
    auto& owner = *static_cast<state*>(self);
    const mg_request_info& info = *mg_get_request_info(connection);
    const std::string_view query = info.query_string == nullptr ? "" : info.query_string;
    auto ends = internal::check_link_query(query, owner.settings.secret_);
    if (!ends || !owner.is_admitted(*ends)) {
        ++owner.refused_links;
        LOG_EVERY_N(WARNING, refusals_per_log_line)
            << "rpc: link refused from " << info.remote_addr;
        return refuse_link;
    }
    ++owner.connections;
    owner.bytes_received += internal::upgrade_request_bytes + query.size();
    owner.bytes_sent += internal::upgrade_response_bytes;
    auto kept = std::make_unique<incoming_link>();
    kept->ends = std::move(*ends);
    kept->is_deflate_offered = internal::offers_deflate(query);
    mg_set_user_connection_data(connection, kept.release());
    return accept_link;
}

int peer_server::state::on_data(mg_connection* connection, int bits, char* data, std::size_t size,
                                void* self) {
    auto& owner = *static_cast<state*>(self);
    const int opcode = bits & opcode_mask;
    if (opcode != MG_WEBSOCKET_OPCODE_BINARY) {
        return opcode == MG_WEBSOCKET_OPCODE_CONNECTION_CLOSE ? close_now : keep_open;
    }
    auto* link = static_cast<incoming_link*>(mg_get_user_connection_data(connection));
    return link == nullptr ? close_now : owner.take(connection, *link, {data, size});
}

int peer_server::state::take(mg_connection* connection, incoming_link& link,
                             std::string_view frame) {
    result<std::string> inflated;
    if (link.inflater != nullptr) {
        inflated = link.inflater->inflate(frame);
    }
    auto decoded = inflated ? decode_batch(link.inflater != nullptr ? *inflated : frame)
                            : result<batch>{tl::unexpected(inflated.error())};
    if (!decoded) {
        LOG_EVERY_N(WARNING, refusals_per_log_line) << "rpc: batch from " << link.ends.sender.str()
                                                    << " refused: " << decoded.error().message();
        return close_now;
    }
    bytes_received +=
        internal::frame_head_bytes(frame.size()) + internal::mask_bytes + frame.size();
    const std::uint64_t sequence = decoded->sequence;
    const bool is_taken = take_batch(link.ends, std::move(*decoded));
    return is_taken && acknowledge(connection, link, sequence) ? keep_open : close_now;
}

bool peer_server::state::take_batch(const internal::link_ends& ends, batch taken) {
    if (!filter.admits(ends.sender, ends.sender_incarnation)) {
        return false;
    }
    if (!filter.take(ends.sender, ends.sender_incarnation, taken.sequence)) {
        ++repeated_batches;
        return true;
    }
    ++batches;
    messages += taken.messages.size();
    settings.handler_({ends.sender, ends.sender_incarnation, std::move(taken.messages)});
    return true;
}

bool peer_server::state::acknowledge(mg_connection* connection, incoming_link& link,
                                     std::uint64_t sequence) {
    if (link.is_deflate_offered && link.inflater == nullptr) {
        link.inflater = std::make_unique<internal::batch_inflater>();
    }
    const std::string answer = link.is_deflate_offered
                                   ? std::string{internal::short_acknowledgement}
                                   : internal::encode_acknowledgement(sequence);
    bytes_sent += internal::frame_head_bytes(answer.size()) + answer.size();
    return mg_websocket_write(connection, MG_WEBSOCKET_OPCODE_BINARY, answer.data(),
                              answer.size()) > 0;
}

void peer_server::state::on_close(const mg_connection* connection, void* /*self*/) {
    const std::unique_ptr<incoming_link> kept{
        static_cast<incoming_link*>(mg_get_user_connection_data(connection))};
    mg_set_user_connection_data(connection, nullptr);
}

peer_server::peer_server(std::unique_ptr<state> built) : state_(std::move(built)) {}

peer_server::~peer_server() {
    if (state_->context == nullptr) {
        return;
    }
    // The accepting thread looks at the stop flag only every two seconds, unless a caller comes.
    std::thread waker{[this] {
        constexpr std::chrono::milliseconds until_flag_is_set{20};
        std::this_thread::sleep_for(until_flag_is_set);
        static_cast<void>(http::client_connection::open(state_->place));
    }};
    mg_stop(state_->context);
    waker.join();
}

const http::endpoint& peer_server::place() const noexcept {
    return state_->place;
}

traffic peer_server::carried() const {
    return {state_->bytes_sent, state_->bytes_received, state_->batches, state_->messages,
            state_->connections};
}

std::uint64_t peer_server::refused_links() const {
    return state_->refused_links;
}

std::uint64_t peer_server::repeated_batches() const {
    return state_->repeated_batches;
}

peer_server_builder& peer_server_builder::listen_on(http::endpoint place) {
    place_ = std::move(place);
    return *this;
}

peer_server_builder& peer_server_builder::owned_by(daemon_id self) {
    self_ = std::move(self);
    return *this;
}

peer_server_builder& peer_server_builder::secret(std::string shared) {
    secret_ = std::move(shared);
    return *this;
}

peer_server_builder& peer_server_builder::tls(http::tls_files files) {
    tls_ = std::move(files);
    return *this;
}

peer_server_builder& peer_server_builder::threads(int count) {
    threads_ = count;
    return *this;
}

peer_server_builder& peer_server_builder::handle_with(delivery_handler called) {
    handler_ = std::move(called);
    return *this;
}

result<std::unique_ptr<peer_server>> peer_server_builder::build() const {
    CICADAHATCH_ASSERT(handler_ != nullptr, peer_server_has_a_handler);
    CICADAHATCH_ASSERT(!secret_.empty(), peer_server_has_a_secret);
    std::unique_ptr<peer_server> built{
        new peer_server{std::make_unique<peer_server::state>(*this)}};
    if (!built->state_->start()) {
        return failure(errc::listener_failed);
    }
    return built;
}

} // namespace cicadahatch::rpc
