#include "src/gateway/placement_client.hpp"

#include "src/cells/wire_conversions.hpp"
#include "src/gateway/constants.hpp"
#include "src/scheduling/cell_home.hpp"

#include <algorithm>

namespace cicadahatch::gateway {

namespace asio = forwarding::asio;
using forwarding::net_error;
using forwarding::placement_outcome;
using forwarding::placement_request;
using forwarding::placement_response;
using forwarding::request_context;
using forwarding::request_context_ptr;
using logging::weight;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

cell_id cell_of(const service_id& service) {
    return cell_id{service.str()};
}

/// The pause that a route allows between two events, for each token of an event.
microseconds token_target(const request_context& life, const service_id& service) {
    const routing::engine_traits* traits = life.table().find_traits(service);
    const std::uint32_t tokens = traits == nullptr ? 1 : traits->tokens_per_event;
    return duration_cast<microseconds>(life.route().inter_event_objective) / tokens;
}

rpc::acquire to_acquire(const request_context& life, const placement_request& wanted,
                        time_point now) {
    const forwarding::request_metadata& facts = life.metadata();
    rpc::acquire asked;
    asked.request = facts.id;
    asked.attempt = wanted.attempt;
    asked.cell = cell_of(wanted.service);
    asked.service = wanted.service;
    asked.work_rank = wanted.is_late ? rank::deferrable : rank::urgent;
    asked.level = wanted.priority;
    asked.avoided = wanted.excluded_engines;
    asked.prompt_tokens = facts.prompt_tokens;
    asked.generated_tokens = wanted.generated_tokens;
    asked.expected_output_tokens = facts.expected_output_tokens.value_or(0);
    asked.max_output_tokens =
        facts.max_output_tokens - std::min(wanted.generated_tokens, facts.max_output_tokens);
    asked.waited = duration_cast<microseconds>(now - wanted.target_start.value_or(life.arrived()));
    asked.first_token_target = wanted.target;
    asked.late_first_token_target = wanted.retry_target;
    asked.prompt_key = facts.prompt_key;
    asked.between_tokens_target = token_target(life, wanted.service);
    asked.gives_up_after = duration_cast<microseconds>(life.deadline() - now);
    return asked;
}

rpc::release_outcome to_outcome(placement_outcome how) {
    switch (how) {
    case placement_outcome::completed:
        return rpc::release_outcome::completed;
    case placement_outcome::caller_left:
        return rpc::release_outcome::caller_left;
    case placement_outcome::prefill_failed:
        return rpc::release_outcome::prefill_failed;
    case placement_outcome::decode_failed:
        return rpc::release_outcome::decode_failed;
    case placement_outcome::no_room:
        return rpc::release_outcome::no_room;
    }
    return rpc::release_outcome::caller_left;
}

} // namespace

placement_client::placement_client(forwarding::gateway_state& state, daemon_id self)
    : state_(state), self_(std::move(self)) {}

placement_client::ticket_ptr placement_client::find(const request_id& request,
                                                    attempt_number attempt) const {
    const auto found = tickets_.find(cells::attempt_key(request, attempt));
    return found == tickets_.end() ? nullptr : found->second;
}

std::vector<daemon_id> placement_client::order_of(const cell_id& cell) const {
    const auto known = orders_.find(cell);
    if (known != orders_.end()) {
        return known->second;
    }
    std::vector<scheduling::home_candidate> daemons;
    daemons.reserve(candidates_.size());
    for (const auto& [id, row] : candidates_) {
        daemons.push_back({id, row.daemon.domain});
    }
    return orders_[cell] = scheduling::spread_homes(cell, daemons, home_candidates);
}

placement_client::candidate* placement_client::home_of(const cell_id& cell) {
    for (const daemon_id& daemon : order_of(cell)) {
        candidate& row = candidates_.at(daemon);
        const bool is_usable = row.avoid_until <= state_.time.now();
        if (is_usable && row.channel && row.channel->is_open()) {
            return &row;
        }
    }
    return nullptr;
}

std::set<cell_id> placement_client::cells() const {
    std::set<cell_id> known;
    if (!state_.table) {
        return known;
    }
    for (const routing::service& row : state_.table->services()) {
        if (row.engine) {
            known.insert(cell_of(row.id));
        }
    }
    return known;
}

asio::awaitable<placement_response> placement_client::request_placement(request_context_ptr life,
                                                                        placement_request wanted) {
    const auto asked = std::make_shared<ticket>();
    asked->asked = to_acquire(*life, wanted, state_.time.now());
    asked->wake = std::make_shared<asio::steady_timer>(state_.loop);
    asked->wake->expires_at(life->deadline());
    const request_id name = cells::attempt_key(asked->asked.request, asked->asked.attempt);
    tickets_[name] = asked;
    ask_again(asked);
    life->set_end_handler([wake = asked->wake] { wake->cancel(); });
    while (!asked->is_answered && !life->is_ended()) {
        net_error ignored; // The wait ends by an answer, or as the request does.
        co_await asked->wake->async_wait(forwarding::capture_error(ignored));
    }
    life->set_end_handler({});
    if (!asked->is_answered) {
        tell(asked->asked.cell,
             rpc::withdraw{asked->asked.request, asked->asked.attempt, asked->asked.cell});
        tickets_.erase(name);
        co_return placement_response{
            placement_response::outcome::refused, {}, milliseconds{0}, "ended"};
    }
    placement_response answer = asked->answer;
    if (!asked->is_granted) {
        tickets_.erase(name);
    }
    state_.log.write(answer.result == placement_response::outcome::granted ? weight::routine
                                                                           : weight::notable,
                     "placement.answered",
                     {{"request", life->metadata().id.str()},
                      {"attempt", wanted.attempt.value()},
                      {"home", asked->home.str()},
                      {"answer", static_cast<int>(answer.result)},
                      {"prefill", answer.placement.prefill.str()},
                      {"decode", answer.placement.decode.str()},
                      {"level", wanted.priority},
                      {"late", wanted.is_late},
                      {"patience_ms", life->metadata().timeout.value_or(milliseconds{0})},
                      {"reason", answer.reason},
                      {"retry_after_ms", answer.retry_after},
                      {"waited_ms", duration{state_.time.now() - life->arrived()}}});
    co_return answer;
}

void placement_client::ask_again(const ticket_ptr& of) {
    candidate* home = home_of(of->asked.cell);
    of->home = {};
    of->asked_at = state_.time.now();
    if (home == nullptr && is_connecting(of->asked.cell)) {
        return; // It is asked once the connection stands.
    }
    if (home == nullptr) {
        of->is_answered = true;
        of->answer = {
            placement_response::outcome::unreachable, {}, milliseconds{0}, "no home reached"};
        of->wake->cancel();
        return;
    }
    of->home = home->daemon.id;
    home->channel->send({of->asked});
}

bool placement_client::is_connecting(const cell_id& cell) const {
    const auto order = order_of(cell);
    return std::any_of(order.begin(), order.end(), [this](const daemon_id& daemon) {
        const candidate& row = candidates_.at(daemon);
        return row.channel && !row.channel->is_open();
    });
}

void placement_client::give_up_homeless(time_point now) {
    std::vector<ticket_ptr> waiting;
    for (const auto& [name, known] : tickets_) {
        const bool is_homeless = !known->is_answered && known->home.empty();
        if (is_homeless && now - known->asked_at > home_connect_timeout) {
            waiting.push_back(known);
        }
    }
    for (const ticket_ptr& known : waiting) {
        ask_again(known);
    }
}

void placement_client::tell(const cell_id& cell, const rpc::message& told) {
    for (const daemon_id& daemon : order_of(cell)) {
        const candidate& row = candidates_.at(daemon);
        if (row.channel && row.channel->is_open()) {
            row.channel->send({told});
        }
    }
}

void placement_client::on_prefill_finished(const request_context& life,
                                           const placement_request& of) {
    const cell_id cell = cell_of(of.service);
    tell(cell, rpc::prefill_finished{life.metadata().id, of.attempt, cell, 0, {}});
    if (const auto held = find(life.metadata().id, of.attempt)) {
        held->held.stage = rpc::grant_stage::transferring;
    }
}

void placement_client::on_first_event(const request_context& life, const placement_request& of) {
    const cell_id cell = cell_of(of.service);
    tell(cell, rpc::first_token{life.metadata().id, of.attempt, cell, {}});
    if (const auto held = find(life.metadata().id, of.attempt)) {
        held->held.stage = rpc::grant_stage::decoding;
    }
}

void placement_client::on_engine_leaving(const discovery::backend& engine) {
    const cell_id cell = cell_of(engine.service);
    tell(cell, rpc::engine_leaving{cell, engine.id, engine.started});
}

void placement_client::on_attempt_ended(const request_context& life, const placement_request& of,
                                        placement_outcome how, std::uint32_t output_tokens) {
    const cell_id cell = cell_of(of.service);
    const request_id& request = life.metadata().id;
    tell(cell, rpc::release{request, of.attempt, cell, to_outcome(how), output_tokens, {}});
    tickets_.erase(cells::attempt_key(request, of.attempt));
}

void placement_client::on(const daemon_id& home, const rpc::granted& answer) {
    const auto asked = find(answer.request, answer.attempt);
    if (!asked || asked->is_answered) {
        // The request has ended meanwhile, or another home has answered first.
        if (!asked) {
            const rpc::release unused{answer.request,
                                      answer.attempt,
                                      answer.cell,
                                      rpc::release_outcome::superseded,
                                      0,
                                      {}};
            candidates_.at(home).channel->send({unused});
        }
        return;
    }
    asked->is_answered = true;
    asked->is_granted = true;
    asked->granted_at = state_.time.now();
    asked->answer.result = placement_response::outcome::granted;
    asked->answer.placement = {answer.prefill_backend, answer.decode_backend};
    rpc::grant_record& held = asked->held;
    held.request = answer.request;
    held.attempt = answer.attempt;
    held.grant = answer.grant;
    held.holder = self_;
    held.service = asked->asked.service;
    held.work_rank = asked->asked.work_rank;
    held.stage = rpc::grant_stage::prefilling;
    held.prefill_backend = answer.prefill_backend;
    held.decode_backend = answer.decode_backend;
    held.prompt_tokens = asked->asked.prompt_tokens + asked->asked.generated_tokens;
    held.expected_output_tokens = asked->asked.expected_output_tokens;
    held.max_output_tokens = asked->asked.max_output_tokens;
    held.kv_pieces = answer.kv_pieces;
    held.between_tokens_target = asked->asked.between_tokens_target;
    asked->wake->cancel();
}

void placement_client::on(const daemon_id& home, const rpc::refused& answer) {
    const auto asked = find(answer.request, answer.attempt);
    if (!asked || asked->is_answered || asked->home != home) {
        return;
    }
    if (answer.reason == rpc::refusal_reason::leaving) {
        candidates_.at(home).avoid_until = state_.time.now() + leaving_pause;
        ask_again(asked);
        return;
    }
    asked->is_answered = true;
    asked->answer.result = placement_response::outcome::refused;
    asked->answer.retry_after = answer.retry_after;
    asked->answer.reason =
        "refused by the home: " + std::to_string(static_cast<int>(answer.reason));
    asked->wake->cancel();
}

void placement_client::on_messages(const daemon_id& home,
                                   const std::vector<rpc::message>& received) {
    for (const rpc::message& message : received) {
        const auto dispatch = [&](const auto& what) {
            if constexpr (requires { on(home, what); }) {
                on(home, what);
            }
        };
        std::visit(dispatch, message);
    }
}

void placement_client::connect(candidate& to) {
    const daemon_id id = to.daemon.id;
    net_error error;
    const auto address = asio::ip::make_address(to.daemon.address.host, error);
    if (error) {
        return;
    }
    to.opened_at = state_.time.now();
    to.channel = std::make_shared<peer_channel>(state_.loop, state_.time);
    to.channel->on_messages(
        [this](const daemon_id& home, const std::vector<rpc::message>& received) {
            on_messages(home, received);
        });
    to.channel->on_close([this](const daemon_id& home) { on_close(home); });
    to.channel->open(self_, id, {address, to.daemon.address.port}, [this, id] { on_open(id); });
}

void placement_client::on_open(const daemon_id& home) {
    state_.log.write(weight::notable, "home.reached", {{"home", home.str()}});
    candidates_.at(home).is_established = true;
    register_places(home);
    std::vector<ticket_ptr> waiting;
    for (const auto& [name, known] : tickets_) {
        if (!known->is_answered && known->home.empty()) {
            waiting.push_back(known);
        }
    }
    for (const ticket_ptr& known : waiting) {
        ask_again(known);
    }
}

void placement_client::register_places(const daemon_id& home) {
    const candidate& row = candidates_.at(home);
    const time_point now = state_.time.now();
    for (const cell_id& cell : cells()) {
        const auto order = order_of(cell);
        if (std::find(order.begin(), order.end(), home) == order.end()) {
            continue;
        }
        rpc::register_grants told;
        told.cell = cell;
        for (const auto& [name, known] : tickets_) {
            if (known->is_granted && known->asked.cell == cell) {
                rpc::grant_record record = known->held;
                record.age = duration_cast<milliseconds>(now - known->granted_at);
                told.grants.push_back(std::move(record));
            }
        }
        row.channel->send({told});
    }
}

void placement_client::on_close(const daemon_id& home) {
    const auto found = candidates_.find(home);
    if (found == candidates_.end()) {
        return;
    }
    state_.log.write(weight::notable, "home.lost", {{"home", home.str()}});
    candidate& row = found->second;
    const time_point now = state_.time.now();
    // A connection that has served for a while is opened again at once: it may have been reset.
    const bool has_served = row.is_established && now - row.opened_at > unreachable_pause;
    row.channel.reset();
    row.is_established = false;
    row.avoid_until = has_served ? now : now + unreachable_pause;
    connect_to_homes();
    std::vector<ticket_ptr> orphans;
    for (const auto& [name, known] : tickets_) {
        if (!known->is_answered && known->home == home) {
            orphans.push_back(known);
        }
    }
    for (const ticket_ptr& orphan : orphans) {
        ask_again(orphan);
    }
}

std::optional<time_point> placement_client::oldest_ask(const daemon_id& home) const {
    std::optional<time_point> oldest;
    for (const auto& [name, known] : tickets_) {
        const bool is_open = !known->is_answered && known->home == home;
        if (is_open && (!oldest || known->asked_at < *oldest)) {
            oldest = known->asked_at;
        }
    }
    return oldest;
}

void placement_client::give_up_silent(candidate& row, time_point now) {
    if (!row.channel) {
        return;
    }
    const auto channel = row.channel;
    if (!channel->is_open()) {
        if (now - row.opened_at > home_connect_timeout) {
            channel->close();
        }
        return;
    }
    const auto asked = oldest_ask(row.daemon.id);
    const bool is_idle_silent = now - channel->heard_at() > idle_silence;
    const bool is_busy_silent = asked && now - std::max(*asked, channel->heard_at()) > busy_silence;
    if (is_idle_silent || is_busy_silent) {
        channel->close();
    }
}

void placement_client::tend() {
    const time_point now = state_.time.now();
    std::vector<daemon_id> known;
    for (const auto& [id, row] : candidates_) {
        known.push_back(id);
    }
    for (const daemon_id& id : known) {
        give_up_silent(candidates_.at(id), now);
    }
    connect_to_homes();
    give_up_homeless(now);
}

void placement_client::connect_to_homes() {
    const time_point now = state_.time.now();
    for (const cell_id& cell : cells()) {
        for (const daemon_id& daemon : order_of(cell)) {
            candidate& row = candidates_.at(daemon);
            if (row.avoid_until > now) {
                continue;
            }
            if (!row.channel) {
                connect(row);
            }
            break;
        }
    }
}

void placement_client::set_daemons(std::vector<discovery::registered_daemon> daemons) {
    std::map<daemon_id, candidate> kept;
    for (discovery::registered_daemon& daemon : daemons) {
        const auto known = candidates_.find(daemon.id);
        const bool is_same = known != candidates_.end() && known->second.daemon == daemon;
        const daemon_id id = daemon.id;
        if (is_same) {
            kept[id] = known->second;
        } else {
            kept[id].daemon = std::move(daemon);
        }
    }
    std::vector<std::shared_ptr<peer_channel>> dropped;
    for (auto& [id, row] : candidates_) {
        const auto still = kept.find(id);
        if (row.channel && (still == kept.end() || still->second.channel != row.channel)) {
            dropped.push_back(row.channel);
        }
    }
    candidates_ = std::move(kept);
    orders_.clear();
    for (const auto& channel : dropped) {
        channel->close();
    }
    tend();
}

} // namespace cicadahatch::gateway
