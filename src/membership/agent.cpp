#include "src/membership/agent.hpp"

#include "src/core/hash.hpp"
#include "src/core/macros.hpp"
#include "src/membership/constants.hpp"
#include "src/membership/error.hpp"
#include "src/membership/queries.hpp"
#include "src/membership/receive.hpp"
#include "src/membership/step.hpp"

#include <condition_variable>
#include <glog/logging.h>
#include <map>
#include <mutex>
#include <thread>

namespace cicadahatch::membership {

namespace {

bool is_membership(const rpc::message& content) {
    return std::holds_alternative<rpc::gossip>(content) ||
           std::holds_alternative<rpc::sync_request>(content) ||
           std::holds_alternative<rpc::sync_reply>(content);
}

/// Gossip is repeated anyway; only answers with tables are worth a repetition by the link.
constexpr std::chrono::milliseconds gossip_acknowledgement_timeout{500};
constexpr std::chrono::milliseconds gossip_delivery_timeout{1'000};
constexpr int steps_per_idle_check = 100;

rpc::peer_link_builder link_prototype(const member_record& self, const std::string& secret,
                                      const http::client_tls& tls) {
    return rpc::peer_link_builder{}
        .from(self.id, self.started)
        .secret(secret)
        .tls(tls)
        .timeouts(gossip_acknowledgement_timeout, gossip_delivery_timeout);
}

const char* name_of(event_kind kind) {
    switch (kind) {
    case event_kind::joined:
        return "joined";
    case event_kind::suspected:
        return "suspected";
    case event_kind::died:
        return "died";
    case event_kind::left:
        return "left";
    case event_kind::leaving:
        return "leaving";
    case event_kind::recovered:
        return "recovered";
    case event_kind::self_declared_dead:
        return "was taken for dead here";
    case event_kind::self_replaced:
        return "was started again elsewhere";
    }
    return "unknown";
}

} // namespace

struct agent::state {
    state(const agent_builder& built, member_record self)
        : settings(built),
          gossip(make_gossip_state(std::move(self), built.seeds_, stable_hash(unique_token()),
                                   built.clock_->now())),
          links(link_prototype(gossip.self, built.secret_, built.link_tls_),
                [this](const daemon_id& peer, std::vector<rpc::message> lost,
                       const std::error_code& reason) {
                    report_loss(peer, std::move(lost), reason);
                }) {}

    void take(rpc::delivery taken);
    void run();
    void step_once();
    void send_all(std::vector<outgoing> sent);
    void report(const std::vector<member_event>& events);
    void report_payloads();
    void report_loss(const daemon_id& peer, std::vector<rpc::message> lost,
                     const std::error_code& reason) const;
    [[nodiscard]] time_point now() const { return settings.clock_->now(); }

    const agent_builder settings;
    mutable std::mutex mutex; ///< guards gossip and is_stopping
    std::condition_variable stopping;
    gossip_state gossip;
    bool is_stopping = false;
    std::map<payload_id, std::uint64_t> reported_versions; ///< used by the agent's thread only
    rpc::peer_links links;
    std::unique_ptr<rpc::peer_server> server;
    std::thread runner;
};

void agent::state::take(rpc::delivery taken) {
    std::vector<outgoing> sent;
    {
        const std::lock_guard lock{mutex};
        for (const rpc::message& content : taken.messages) {
            receive(gossip, taken.sender, content, now(), sent);
        }
    }
    send_all(std::move(sent));
    std::erase_if(taken.messages, is_membership);
    if (!taken.messages.empty() && settings.on_message_) {
        settings.on_message_(std::move(taken));
    }
}

void agent::state::run() {
    for (int steps = 0;; ++steps) {
        step_once();
        if (steps % steps_per_idle_check == 0) {
            links.close_idle();
        }
        std::unique_lock lock{mutex};
        if (stopping.wait_for(lock, step_period, [this] { return is_stopping; })) {
            return;
        }
    }
}

void agent::state::step_once() {
    std::vector<outgoing> sent;
    std::vector<member_event> events;
    {
        const std::lock_guard lock{mutex};
        step(gossip, now(), sent);
        events.swap(gossip.events);
    }
    send_all(std::move(sent));
    report(events);
    report_payloads();
}

void agent::state::send_all(std::vector<outgoing> sent) {
    for (outgoing& entry : sent) {
        // A full outbox means that the peer takes nothing; gossip finds another way.
        static_cast<void>(links.send(entry.peer, entry.place, std::move(entry.content)));
    }
}

void agent::state::report(const std::vector<member_event>& events) {
    for (const member_event& event : events) {
        const bool is_final = event.kind == event_kind::died || event.kind == event_kind::left;
        if (event.kind != event_kind::suspected) {
            LOG(INFO) << "membership: " << event.record.id.str() << " " << name_of(event.kind);
        }
        if (settings.on_event_) {
            settings.on_event_(event);
        }
        if (is_final) {
            links.close(event.record.id);
        }
    }
}

void agent::state::report_payloads() {
    if (!settings.on_payload_) {
        return;
    }
    std::vector<payload> changed;
    {
        const std::lock_guard lock{mutex};
        for (const payload_row& row : gossip.payloads.rows()) {
            std::uint64_t& reported = reported_versions[row.id];
            if (reported != row.held.version) {
                reported = row.held.version;
                changed.push_back(row.held);
            }
        }
    }
    for (const payload& entry : changed) {
        settings.on_payload_(entry);
    }
}

void agent::state::report_loss(const daemon_id& peer, std::vector<rpc::message> lost,
                               const std::error_code& reason) const {
    std::erase_if(lost, is_membership);
    if (!lost.empty() && settings.on_loss_) {
        settings.on_loss_(peer, std::move(lost), reason);
    }
}

agent::agent(std::unique_ptr<state> built) : state_(std::move(built)) {}

agent::~agent() {
    {
        const std::lock_guard lock{state_->mutex};
        state_->is_stopping = true;
    }
    state_->stopping.notify_all();
    if (state_->runner.joinable()) {
        state_->runner.join();
    }
    state_->server.reset();
}

member_record agent::self() const {
    const std::lock_guard lock{state_->mutex};
    return state_->gossip.self;
}

std::vector<member_record> agent::live_members(const domain_id& domain) const {
    const std::lock_guard lock{state_->mutex};
    return membership::live_members(state_->gossip, domain, state_->now());
}

std::vector<member_record> agent::working_members(const domain_id& domain) const {
    const std::lock_guard lock{state_->mutex};
    return membership::working_members(state_->gossip, domain, state_->now());
}

std::vector<domain_id> agent::known_domains() const {
    const std::lock_guard lock{state_->mutex};
    return membership::known_domains(state_->gossip);
}

bool agent::is_cut_off(const domain_id& domain) const {
    const std::lock_guard lock{state_->mutex};
    return membership::is_cut_off(state_->gossip, domain, state_->now());
}

std::vector<payload> agent::payloads(payload_kind kind) const {
    const std::lock_guard lock{state_->mutex};
    std::vector<payload> found;
    for (const payload_row& row : payloads_of(state_->gossip, kind)) {
        found.push_back(row.held);
    }
    return found;
}

bool agent::is_leaving_backend(const backend_id& backend, incarnation started) const {
    const std::lock_guard lock{state_->mutex};
    return membership::is_leaving_backend(state_->gossip, backend, started);
}

gossip_counts agent::counts() const {
    const std::lock_guard lock{state_->mutex};
    return state_->gossip.counts;
}

rpc::traffic agent::carried() const {
    return state_->links.carried() + state_->server->carried();
}

result<void> agent::send(const daemon_id& peer, rpc::message content, rpc::urgency how) {
    http::endpoint place;
    {
        const std::lock_guard lock{state_->mutex};
        const member* known = state_->gossip.members.find(peer);
        if (known == nullptr || !is_present(known->record.status)) {
            return failure(errc::unknown_member);
        }
        place = known->record.place;
    }
    return state_->links.send(peer, place, std::move(content), how);
}

std::uint64_t agent::set_payload(payload_kind kind, std::string key, std::uint64_t version,
                                 std::string value) {
    const std::lock_guard lock{state_->mutex};
    return membership::set_payload(
        state_->gossip, {kind, std::move(key), version, std::move(value)}, state_->now());
}

void agent::announce_leaving_backend(const backend_id& backend, incarnation started) {
    set_payload(payload_kind::leaving_backend, backend.str(), started.value(), {});
}

void agent::announce_leaving() {
    const std::lock_guard lock{state_->mutex};
    membership::announce_leaving(state_->gossip);
}

void agent::leave() {
    std::vector<outgoing> sent;
    {
        const std::lock_guard lock{state_->mutex};
        announce_left(state_->gossip, state_->now(), sent);
    }
    state_->send_all(std::move(sent));
}

void agent::set_seeds(std::vector<http::endpoint> seeds) {
    const std::lock_guard lock{state_->mutex};
    state_->gossip.seeds = std::move(seeds);
}

agent_builder& agent_builder::named(daemon_id self, domain_id domain, incarnation started) {
    self_.id = std::move(self);
    self_.domain = std::move(domain);
    self_.started = started;
    return *this;
}

agent_builder& agent_builder::listen_on(http::endpoint place) {
    self_.place = std::move(place);
    return *this;
}

agent_builder& agent_builder::advertise(http::endpoint place) {
    advertised_ = std::move(place);
    return *this;
}

agent_builder& agent_builder::secret(std::string shared) {
    secret_ = std::move(shared);
    return *this;
}

agent_builder& agent_builder::tls(http::tls_files listener, http::client_tls links) {
    listener_tls_ = std::move(listener);
    link_tls_ = std::move(links);
    return *this;
}

agent_builder& agent_builder::threads(int count) {
    threads_ = count;
    return *this;
}

agent_builder& agent_builder::seeds(std::vector<http::endpoint> places) {
    seeds_ = std::move(places);
    return *this;
}

agent_builder& agent_builder::timed_by(const clock& source) {
    clock_ = &source;
    return *this;
}

agent_builder& agent_builder::on_event(event_handler called) {
    on_event_ = std::move(called);
    return *this;
}

agent_builder& agent_builder::on_payload(payload_handler called) {
    on_payload_ = std::move(called);
    return *this;
}

agent_builder& agent_builder::on_message(message_handler called) {
    on_message_ = std::move(called);
    return *this;
}

agent_builder& agent_builder::on_loss(rpc::peer_loss_handler called) {
    on_loss_ = std::move(called);
    return *this;
}

result<std::unique_ptr<agent>> agent_builder::build() const {
    CICADAHATCH_ASSERT(clock_ != nullptr, agent_has_a_clock);
    auto state = std::make_unique<agent::state>(*this, self_);
    auto server = rpc::peer_server_builder{}
                      .listen_on(self_.place)
                      .owned_by(self_.id)
                      .secret(secret_)
                      .tls(listener_tls_)
                      .threads(threads_)
                      .handle_with([taker = state.get()](rpc::delivery taken) {
                          taker->take(std::move(taken));
                      })
                      .build();
    if (!server) {
        return tl::unexpected(server.error());
    }
    {
        const std::lock_guard lock{state->mutex};
        state->server = std::move(*server);
        state->gossip.self.place = advertised_.value_or(state->server->place());
    }
    state->runner = std::thread{[running = state.get()] { running->run(); }};
    return std::unique_ptr<agent>{new agent{std::move(state)}};
}

} // namespace cicadahatch::membership
