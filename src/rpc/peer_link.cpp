#include "src/rpc/peer_link.hpp"

#include "src/core/macros.hpp"
#include "src/rpc/batch.hpp"
#include "src/rpc/error.hpp"
#include "src/rpc/internal/constants.hpp"
#include "src/rpc/internal/link_connection.hpp"
#include "src/rpc/internal/link_proof.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace cicadahatch::rpc {

namespace {

using steady = std::chrono::steady_clock;

/// Grows over all links of this process, so that a link that replaces another to the same peer
/// goes on above it.
std::uint64_t next_sequence() {
    static std::atomic<std::uint64_t> last{0};
    return ++last;
}

} // namespace

struct peer_link::state {
    explicit state(peer_link_builder built) : settings(std::move(built)) {
        path = internal::link_path({settings.self_, settings.started_, settings.peer_},
                                   settings.secret_);
    }

    void run();
    [[nodiscard]] batch gather();
    void deliver(const batch& sent);
    [[nodiscard]] result<internal::exchanged_bytes> try_once(std::uint64_t sequence,
                                                             const std::string& bytes);
    [[nodiscard]] result<void> connect();
    [[nodiscard]] bool pause_before_retry();
    void count(const batch& sent, const internal::exchanged_bytes& used);
    void report_loss(std::vector<message> lost, const std::error_code& reason) const;

    const peer_link_builder settings;
    std::string path;
    std::unique_ptr<internal::link_connection> connection; ///< used by the link's thread only

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::deque<message> outbox;
    steady::time_point due = steady::time_point::max();
    steady::time_point last_use = steady::now();
    std::size_t under_way = 0;
    traffic carried;
    bool is_stopping = false;
    std::thread sender;
};

void peer_link::state::run() {
    for (;;) {
        const batch sent = gather();
        if (sent.messages.empty()) {
            return;
        }
        deliver(sent);
        const std::lock_guard lock{mutex};
        under_way = 0;
    }
}

/// Waits for messages and their flush delay. An empty batch means that the link is closing.
batch peer_link::state::gather() {
    std::unique_lock lock{mutex};
    while (!is_stopping && (outbox.empty() || steady::now() < due)) {
        if (outbox.empty()) {
            changed.wait(lock);
        } else {
            changed.wait_until(lock, due);
        }
    }
    if (is_stopping) {
        return {};
    }
    batch sent;
    while (!outbox.empty() && sent.messages.size() < max_batch_messages) {
        sent.messages.push_back(std::move(outbox.front()));
        outbox.pop_front();
    }
    due = outbox.empty() ? steady::time_point::max() : steady::now();
    under_way = sent.messages.size();
    sent.sequence = next_sequence();
    return sent;
}

void peer_link::state::deliver(const batch& sent) {
    const std::string bytes = encode_batch(sent);
    if (bytes.size() > max_batch_bytes) {
        report_loss(sent.messages, errc::too_large);
        return;
    }
    const auto give_up = steady::now() + settings.delivery_timeout_;
    bool may_be_taken = false;
    for (;;) {
        const auto taken = try_once(sent.sequence, bytes);
        if (taken) {
            count(sent, *taken);
            return;
        }
        may_be_taken = may_be_taken || !is_surely_not_taken(taken.error());
        if (steady::now() >= give_up || !pause_before_retry()) {
            report_loss(sent.messages,
                        may_be_taken ? std::error_code(errc::not_acknowledged) : taken.error());
            return;
        }
    }
}

result<internal::exchanged_bytes> peer_link::state::try_once(std::uint64_t sequence,
                                                             const std::string& bytes) {
    if (connection != nullptr && connection->is_closed()) {
        connection.reset();
    }
    if (connection == nullptr) {
        if (const auto connected = connect(); !connected) {
            return tl::unexpected(connected.error());
        }
    }
    auto taken = connection->deliver(sequence, bytes, settings.acknowledgement_timeout_);
    if (!taken) {
        connection.reset();
    }
    return taken;
}

result<void> peer_link::state::connect() {
    auto opened = internal::link_connection::open(settings.place_, settings.tls_, path);
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    connection = std::move(*opened);
    const std::lock_guard lock{mutex};
    ++carried.connections;
    carried.bytes_sent += internal::upgrade_request_bytes + path.size();
    carried.bytes_received += internal::upgrade_response_bytes;
    return {};
}

/// \returns false if the link is closing
bool peer_link::state::pause_before_retry() {
    std::unique_lock lock{mutex};
    return !changed.wait_for(lock, reconnect_pause, [this] { return is_stopping; });
}

void peer_link::state::count(const batch& sent, const internal::exchanged_bytes& used) {
    const std::lock_guard lock{mutex};
    ++carried.batches;
    carried.messages += sent.messages.size();
    carried.bytes_sent += used.sent;
    carried.bytes_received += used.received;
}

void peer_link::state::report_loss(std::vector<message> lost, const std::error_code& reason) const {
    if (settings.on_loss_ && !lost.empty()) {
        settings.on_loss_(std::move(lost), reason);
    }
}

peer_link::peer_link(std::unique_ptr<state> built) : state_(std::move(built)) {
    state_->sender = std::thread([running = state_.get()] { running->run(); });
}

void peer_link::begin_close() {
    {
        const std::lock_guard lock{state_->mutex};
        state_->is_stopping = true;
    }
    state_->changed.notify_all();
}

peer_link::~peer_link() {
    begin_close();
    state_->sender.join();
    std::vector<message> waiting{state_->outbox.begin(), state_->outbox.end()};
    state_->report_loss(std::move(waiting), errc::link_closed);
}

const daemon_id& peer_link::peer() const noexcept {
    return state_->settings.peer_;
}

const http::endpoint& peer_link::place() const noexcept {
    return state_->settings.place_;
}

traffic peer_link::carried() const {
    const std::lock_guard lock{state_->mutex};
    return state_->carried;
}

std::size_t peer_link::pending() const {
    const std::lock_guard lock{state_->mutex};
    return state_->outbox.size() + state_->under_way;
}

std::chrono::steady_clock::time_point peer_link::last_use() const {
    const std::lock_guard lock{state_->mutex};
    return state_->last_use;
}

result<void> peer_link::send(message sent, urgency how) {
    const auto& settings = state_->settings;
    const auto delay = how == urgency::prompt ? settings.prompt_delay_ : settings.deferrable_delay_;
    {
        const std::lock_guard lock{state_->mutex};
        if (state_->outbox.size() >= settings.max_outbox_) {
            return failure(errc::outbox_full);
        }
        state_->outbox.push_back(std::move(sent));
        state_->last_use = steady::now();
        const auto due = state_->last_use + delay;
        if (due >= state_->due) {
            return {};
        }
        state_->due = due;
    }
    state_->changed.notify_all();
    return {};
}

peer_link_builder& peer_link_builder::from(daemon_id self, incarnation started) {
    self_ = std::move(self);
    started_ = started;
    return *this;
}

peer_link_builder& peer_link_builder::to(daemon_id peer, http::endpoint place) {
    peer_ = std::move(peer);
    place_ = std::move(place);
    return *this;
}

peer_link_builder& peer_link_builder::secret(std::string shared) {
    secret_ = std::move(shared);
    return *this;
}

peer_link_builder& peer_link_builder::tls(http::client_tls files) {
    tls_ = std::move(files);
    return *this;
}

peer_link_builder& peer_link_builder::on_loss(loss_handler called) {
    on_loss_ = std::move(called);
    return *this;
}

peer_link_builder& peer_link_builder::flush_delays(std::chrono::milliseconds prompt,
                                                   std::chrono::milliseconds deferrable) {
    prompt_delay_ = prompt;
    deferrable_delay_ = deferrable;
    return *this;
}

peer_link_builder& peer_link_builder::timeouts(std::chrono::milliseconds acknowledgement,
                                               std::chrono::milliseconds delivery) {
    acknowledgement_timeout_ = acknowledgement;
    delivery_timeout_ = delivery;
    return *this;
}

peer_link_builder& peer_link_builder::max_outbox(std::size_t messages) {
    max_outbox_ = messages;
    return *this;
}

std::unique_ptr<peer_link> peer_link_builder::build() const {
    CICADAHATCH_ASSERT(!self_.empty(), link_has_a_sender);
    CICADAHATCH_ASSERT(place_.port != 0, link_has_a_place);
    return std::unique_ptr<peer_link>{new peer_link{std::make_unique<peer_link::state>(*this)}};
}

} // namespace cicadahatch::rpc
