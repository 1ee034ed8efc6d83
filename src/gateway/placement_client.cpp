#include "src/gateway/placement_client.hpp"

#include "src/cells/cell_messages.hpp"
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

/// A route's objective for the time between two events, divided by the tokens per event.
microseconds token_target(const request_context& context, const service_id& service) {
    const routing::engine_traits* traits = context.table().find_traits(service);
    const std::uint32_t tokens = traits == nullptr ? 1 : traits->tokens_per_event;
    return duration_cast<microseconds>(context.route().inter_event_objective) / tokens;
}

rpc::acquire to_acquire(const request_context& context, const placement_request& request,
                        time_point now) {
    const forwarding::request_metadata& metadata = context.metadata();
    rpc::acquire acquire;
    acquire.request = metadata.id;
    acquire.attempt = request.attempt;
    acquire.cell = cell_of(request.service);
    acquire.service = request.service;
    acquire.work_rank = request.is_late ? rank::deferrable : rank::urgent;
    acquire.level = request.priority;
    acquire.avoided = request.excluded_engines;
    acquire.prompt_tokens = metadata.prompt_tokens;
    acquire.generated_tokens = request.generated_tokens;
    acquire.expected_output_tokens = metadata.expected_output_tokens.value_or(0);
    acquire.max_output_tokens =
        metadata.max_output_tokens - std::min(request.generated_tokens, metadata.max_output_tokens);
    acquire.waited =
        duration_cast<microseconds>(now - request.target_start.value_or(context.arrived()));
    acquire.first_token_target = request.target;
    acquire.late_first_token_target = request.retry_target;
    acquire.prompt_key = metadata.prompt_key;
    acquire.between_tokens_target = token_target(context, request.service);
    acquire.prompt_parts = metadata.shared_prompt_parts;
    acquire.gives_up_after = duration_cast<microseconds>(context.deadline() - now);
    return acquire;
}

rpc::release_outcome to_outcome(placement_outcome end) {
    switch (end) {
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
    case placement_outcome::engine_crashed:
        return rpc::release_outcome::engine_crashed;
    }
    return rpc::release_outcome::caller_left;
}

} // namespace

placement_client::placement_client(forwarding::gateway_state& state, daemon_id self)
    : state_(state), self_(std::move(self)) {}

placement_client::entry_ptr placement_client::find(const request_id& request,
                                                   attempt_number attempt) const {
    const auto found = entries_.find(cells::attempt_key(request, attempt));
    return found == entries_.end() ? nullptr : found->second;
}

std::vector<daemon_id> placement_client::homes_of(const cell_id& cell) const {
    const auto known = homes_by_cell_.find(cell);
    if (known != homes_by_cell_.end()) {
        return known->second;
    }
    std::vector<scheduling::home_candidate> daemons;
    daemons.reserve(candidates_.size());
    for (const auto& [id, row] : candidates_) {
        daemons.push_back({id, row.daemon.domain});
    }
    return homes_by_cell_[cell] = scheduling::spread_homes(cell, daemons, homes_per_cell);
}

placement_client::candidate* placement_client::connected_home(const cell_id& cell) {
    for (const daemon_id& daemon : homes_of(cell)) {
        candidate& row = candidates_.at(daemon);
        const bool is_usable = row.avoid_until <= state_.time.now();
        if (is_usable && row.channel && row.channel->is_open()) {
            return &row;
        }
    }
    return nullptr;
}

std::set<cell_id> placement_client::cells() const {
    std::set<cell_id> ids;
    if (!state_.table) {
        return ids;
    }
    for (const routing::service& row : state_.table->services()) {
        if (row.engine) {
            ids.insert(cell_of(row.id));
        }
    }
    return ids;
}

asio::awaitable<placement_response> placement_client::request_placement(request_context_ptr context,
                                                                        placement_request request) {
    const auto entry = std::make_shared<placement_entry>();
    entry->acquire = to_acquire(*context, request, state_.time.now());
    entry->wake_timer = std::make_shared<asio::steady_timer>(state_.loop);
    entry->wake_timer->expires_at(context->deadline());
    const request_id name = cells::attempt_key(entry->acquire.request, entry->acquire.attempt);
    entries_[name] = entry;
    send_to_home(entry);
    context->set_end_handler([wake_timer = entry->wake_timer] { wake_timer->cancel(); });
    while (!entry->is_answered && !context->is_ended()) {
        net_error ignored; // The wait ends with a response or with the request.
        co_await entry->wake_timer->async_wait(forwarding::capture_error(ignored));
    }
    context->set_end_handler({});
    if (!entry->is_answered) {
        notify_homes(
            entry->acquire.cell,
            rpc::withdraw{entry->acquire.request, entry->acquire.attempt, entry->acquire.cell});
        entries_.erase(name);
        co_return placement_response{
            placement_response::outcome::refused, {}, milliseconds{0}, "ended"};
    }
    placement_response answer = entry->answer;
    if (!entry->is_granted) {
        entries_.erase(name);
    }
    state_.log.write(answer.result == placement_response::outcome::granted ? weight::routine
                                                                           : weight::notable,
                     "placement.answered",
                     {{"request", context->metadata().id.str()},
                      {"attempt", request.attempt.value()},
                      {"home", entry->home.str()},
                      {"answer", static_cast<int>(answer.result)},
                      {"prefill", answer.placement.prefill.str()},
                      {"decode", answer.placement.decode.str()},
                      {"level", request.priority},
                      {"late", request.is_late},
                      {"patience_ms", context->metadata().timeout.value_or(milliseconds{0})},
                      {"reason", answer.reason},
                      {"retry_after_ms", answer.retry_after},
                      {"waited_ms", duration{state_.time.now() - context->arrived()}}});
    co_return answer;
}

void placement_client::send_to_home(const entry_ptr& entry) {
    candidate* home = connected_home(entry->acquire.cell);
    entry->home = {};
    entry->asked_at = state_.time.now();
    if (home == nullptr && is_connecting(entry->acquire.cell)) {
        return; // It is sent once the connection is established.
    }
    if (home == nullptr) {
        entry->is_answered = true;
        entry->answer = answer_without_home(entry->acquire);
        entry->wake_timer->cancel();
        return;
    }
    entry->home = home->daemon.id;
    home->channel->send({entry->acquire});
}

placement_response placement_client::answer_without_home(const rpc::acquire& request) {
    const time_point now = state_.time.now();
    cells::crash_suspects suspects;
    for (const rpc::crashing_part& row : suspects_.parts) {
        cells::merge_suspect(suspects, row.part, cells::to_suspect(row, now), now);
    }
    const auto blocked = cells::check_prompt(suspects, request.request,
                                             cells::to_prompt_parts(request.prompt_parts), now);
    if (blocked) {
        return {placement_response::outcome::refused,
                {},
                blocked->retry_after,
                "the prompt crashes engines"};
    }
    return {placement_response::outcome::unreachable, {}, milliseconds{0}, "no home reached"};
}

bool placement_client::is_connecting(const cell_id& cell) const {
    const auto order = homes_of(cell);
    return std::any_of(order.begin(), order.end(), [this](const daemon_id& daemon) {
        const candidate& row = candidates_.at(daemon);
        return row.channel && !row.channel->is_open();
    });
}

void placement_client::retry_unassigned(time_point now) {
    std::vector<entry_ptr> waiting;
    for (const auto& [name, entry] : entries_) {
        const bool is_unassigned = !entry->is_answered && entry->home.empty();
        if (is_unassigned && now - entry->asked_at > home_connect_timeout) {
            waiting.push_back(entry);
        }
    }
    for (const entry_ptr& entry : waiting) {
        send_to_home(entry);
    }
}

void placement_client::notify_homes(const cell_id& cell, const rpc::message& message) {
    for (const daemon_id& daemon : homes_of(cell)) {
        const candidate& row = candidates_.at(daemon);
        if (row.channel && row.channel->is_open()) {
            row.channel->send({message});
        }
    }
}

void placement_client::on_prefill_finished(const request_context& context,
                                           const placement_request& request) {
    const cell_id cell = cell_of(request.service);
    notify_homes(cell, rpc::prefill_finished{context.metadata().id, request.attempt, cell, 0, {}});
    if (const auto entry = find(context.metadata().id, request.attempt)) {
        entry->grant.stage = rpc::grant_stage::transferring;
    }
}

void placement_client::on_first_event(const request_context& context,
                                      const placement_request& request) {
    const cell_id cell = cell_of(request.service);
    const auto& parts = context.metadata().shared_prompt_parts;
    notify_homes(cell, rpc::first_token{context.metadata().id, request.attempt, cell, {}, parts});
    if (const auto entry = find(context.metadata().id, request.attempt)) {
        entry->grant.stage = rpc::grant_stage::decoding;
    }
}

void placement_client::on_engine_leaving(const discovery::backend& engine) {
    const cell_id cell = cell_of(engine.service);
    notify_homes(cell, rpc::engine_leaving{cell, engine.id, engine.started});
}

void placement_client::on_attempt_ended(const request_context& context,
                                        const placement_request& request, placement_outcome end,
                                        std::uint32_t output_tokens) {
    const cell_id cell = cell_of(request.service);
    const request_id& id = context.metadata().id;
    rpc::release release{id, request.attempt, cell, to_outcome(end), output_tokens, {}};
    if (end == placement_outcome::engine_crashed) {
        release.prompt_parts = context.metadata().shared_prompt_parts;
    }
    notify_homes(cell, release);
    entries_.erase(cells::attempt_key(id, request.attempt));
}

void placement_client::handle(const daemon_id& home, const rpc::granted& answer) {
    const auto entry = find(answer.request, answer.attempt);
    if (!entry || entry->is_answered) {
        // The request has already ended, or another home answered first.
        if (!entry) {
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
    entry->is_answered = true;
    entry->is_granted = true;
    entry->granted_at = state_.time.now();
    entry->answer.result = placement_response::outcome::granted;
    entry->answer.placement = {answer.prefill_backend, answer.decode_backend};
    rpc::grant_record& grant = entry->grant;
    grant.request = answer.request;
    grant.attempt = answer.attempt;
    grant.grant = answer.grant;
    grant.holder = self_;
    grant.service = entry->acquire.service;
    grant.work_rank = entry->acquire.work_rank;
    grant.stage = rpc::grant_stage::prefilling;
    grant.prefill_backend = answer.prefill_backend;
    grant.decode_backend = answer.decode_backend;
    grant.prompt_tokens = entry->acquire.prompt_tokens + entry->acquire.generated_tokens;
    grant.expected_output_tokens = entry->acquire.expected_output_tokens;
    grant.max_output_tokens = entry->acquire.max_output_tokens;
    grant.kv_pieces = answer.kv_pieces;
    grant.prompt_parts = entry->acquire.prompt_parts;
    grant.between_tokens_target = entry->acquire.between_tokens_target;
    entry->wake_timer->cancel();
}

void placement_client::handle(const daemon_id& home, const rpc::refused& answer) {
    const auto entry = find(answer.request, answer.attempt);
    if (!entry || entry->is_answered || entry->home != home) {
        return;
    }
    if (answer.reason == rpc::refusal_reason::leaving) {
        candidates_.at(home).avoid_until = state_.time.now() + leaving_backoff;
        send_to_home(entry);
        return;
    }
    entry->is_answered = true;
    entry->answer.result = placement_response::outcome::refused;
    entry->answer.retry_after = answer.retry_after;
    entry->answer.reason =
        "refused by the home: " + std::to_string(static_cast<int>(answer.reason));
    entry->wake_timer->cancel();
}

void placement_client::handle(const daemon_id& /*home*/, const rpc::crashing_parts& known) {
    suspects_ = known;
}

void placement_client::on_messages(const daemon_id& home,
                                   const std::vector<rpc::message>& received) {
    for (const rpc::message& message : received) {
        const auto dispatch = [&](const auto& received_message) {
            if constexpr (requires { handle(home, received_message); }) {
                handle(home, received_message);
            }
        };
        std::visit(dispatch, message);
    }
}

void placement_client::connect(candidate& target) {
    const daemon_id id = target.daemon.id;
    net_error error;
    const auto address = asio::ip::make_address(target.daemon.address.host, error);
    if (error) {
        return;
    }
    target.opened_at = state_.time.now();
    target.channel = std::make_shared<peer_channel>(state_.loop, state_.time);
    target.channel->on_messages(
        [this](const daemon_id& home, const std::vector<rpc::message>& received) {
            on_messages(home, received);
        });
    target.channel->on_close([this](const daemon_id& home) { on_close(home); });
    target.channel->open(self_, id, {address, target.daemon.address.port},
                         [this, id] { on_open(id); });
}

void placement_client::on_open(const daemon_id& home) {
    state_.log.write(weight::notable, "home.reached", {{"home", home.str()}});
    candidates_.at(home).is_established = true;
    if (!suspects_.parts.empty()) {
        candidates_.at(home).channel->send({suspects_});
    }
    register_grants(home);
    std::vector<entry_ptr> waiting;
    for (const auto& [name, entry] : entries_) {
        if (!entry->is_answered && entry->home.empty()) {
            waiting.push_back(entry);
        }
    }
    for (const entry_ptr& entry : waiting) {
        send_to_home(entry);
    }
}

void placement_client::register_grants(const daemon_id& home) {
    const candidate& row = candidates_.at(home);
    const time_point now = state_.time.now();
    for (const cell_id& cell : cells()) {
        const auto order = homes_of(cell);
        if (std::find(order.begin(), order.end(), home) == order.end()) {
            continue;
        }
        rpc::register_grants registration;
        registration.cell = cell;
        for (const auto& [name, entry] : entries_) {
            if (entry->is_granted && entry->acquire.cell == cell) {
                rpc::grant_record record = entry->grant;
                record.age = duration_cast<milliseconds>(now - entry->granted_at);
                registration.grants.push_back(std::move(record));
            }
        }
        row.channel->send({registration});
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
    // A connection that was stable is reopened at once: it may have been reset.
    const bool was_stable = row.is_established && now - row.opened_at > unreachable_backoff;
    row.channel.reset();
    row.is_established = false;
    row.avoid_until = was_stable ? now : now + unreachable_backoff;
    connect_to_homes();
    std::vector<entry_ptr> orphans;
    for (const auto& [name, entry] : entries_) {
        if (!entry->is_answered && entry->home == home) {
            orphans.push_back(entry);
        }
    }
    for (const entry_ptr& orphan : orphans) {
        send_to_home(orphan);
    }
}

std::optional<time_point> placement_client::oldest_unanswered(const daemon_id& home) const {
    std::optional<time_point> oldest;
    for (const auto& [name, entry] : entries_) {
        const bool is_open = !entry->is_answered && entry->home == home;
        if (is_open && (!oldest || entry->asked_at < *oldest)) {
            oldest = entry->asked_at;
        }
    }
    return oldest;
}

void placement_client::close_if_timed_out(candidate& row, time_point now) {
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
    const auto entry = oldest_unanswered(row.daemon.id);
    const bool is_idle_timed_out = now - channel->last_received_at() > idle_heartbeat_timeout;
    const bool is_busy_timed_out =
        entry && now - std::max(*entry, channel->last_received_at()) > busy_heartbeat_timeout;
    if (is_idle_timed_out || is_busy_timed_out) {
        channel->close();
    }
}

void placement_client::tick() {
    const time_point now = state_.time.now();
    std::vector<daemon_id> ids;
    for (const auto& [id, row] : candidates_) {
        ids.push_back(id);
    }
    for (const daemon_id& id : ids) {
        close_if_timed_out(candidates_.at(id), now);
    }
    connect_to_homes();
    retry_unassigned(now);
}

void placement_client::connect_to_homes() {
    const time_point now = state_.time.now();
    for (const cell_id& cell : cells()) {
        for (const daemon_id& daemon : homes_of(cell)) {
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
    std::map<daemon_id, candidate> updated;
    for (discovery::registered_daemon& daemon : daemons) {
        const auto known = candidates_.find(daemon.id);
        const bool is_same = known != candidates_.end() && known->second.daemon == daemon;
        const daemon_id id = daemon.id;
        if (is_same) {
            updated[id] = known->second;
        } else {
            updated[id].daemon = std::move(daemon);
        }
    }
    std::vector<std::shared_ptr<peer_channel>> dropped;
    for (auto& [id, row] : candidates_) {
        const auto retained = updated.find(id);
        if (row.channel && (retained == updated.end() || retained->second.channel != row.channel)) {
            dropped.push_back(row.channel);
        }
    }
    candidates_ = std::move(updated);
    homes_by_cell_.clear();
    for (const auto& channel : dropped) {
        channel->close();
    }
    tick();
}

} // namespace cicadahatch::gateway
