#include "src/gateway/placement_client.hpp"

#include "src/cells/cell_messages.hpp"
#include "src/cells/wire_conversions.hpp"
#include "src/forwarding/constants.hpp"
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
    acquire.team = context.owner() == nullptr ? team_id{} : context.owner()->id;
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

placement_client::placement_client(forwarding::gateway_state& state, daemon_id self,
                                   home_connections& homes)
    : state_(state), self_(std::move(self)), homes_(homes) {}

placement_client::entry_ptr placement_client::find(const request_id& request,
                                                   attempt_number attempt) const {
    const auto found = entries_.find(cells::attempt_key(request, attempt));
    return found == entries_.end() ? nullptr : found->second;
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
    const request_id name = cells::attempt_key(entry->acquire.request, entry->acquire.attempt);
    entries_[name] = entry;
    send_to_home(entry);
    context->set_end_handler([wake_timer = entry->wake_timer] { wake_timer->cancel(); });
    while (!entry->is_answered && !context->is_ended() && !has_missed_shutdown(*context)) {
        entry->wake_timer->expires_at(last_wait(*context));
        net_error ignored; // The wait ends with a response, the request or the last placement.
        co_await entry->wake_timer->async_wait(forwarding::capture_error(ignored));
    }
    context->set_end_handler({});
    if (!entry->is_answered) {
        homes_.send_to_all(
            entry->acquire.cell,
            rpc::withdraw{entry->acquire.request, entry->acquire.attempt, entry->acquire.cell});
        entries_.erase(name);
        co_return answer_unplaced(*context);
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

bool placement_client::is_bounded_by_shutdown(const request_context& context) const {
    return state_.is_stopping && !context.has_response_begun();
}

bool placement_client::has_missed_shutdown(const request_context& context) const {
    return is_bounded_by_shutdown(context) && state_.time.now() >= state_.shutdown.last_placement;
}

time_point placement_client::last_wait(const request_context& context) const {
    return is_bounded_by_shutdown(context)
               ? std::min(context.deadline(), state_.shutdown.last_placement)
               : context.deadline();
}

placement_response placement_client::answer_unplaced(const request_context& context) const {
    const bool is_ended = context.is_ended();
    state_.log.write(weight::notable, "placement.withdrawn",
                     {{"request", context.metadata().id.str()},
                      {"reason", is_ended ? to_string(context.end_reason()) : "stopping"},
                      {"waited_ms", duration{state_.time.now() - context.arrived()}}});
    return {placement_response::outcome::refused,
            {},
            is_ended ? milliseconds{0} : forwarding::shutdown_retry_after,
            is_ended ? "ended" : "stopping"};
}

void placement_client::start_shutdown() {
    for (const auto& [name, entry] : entries_) {
        if (!entry->is_answered) {
            entry->wake_timer->cancel(); // The wait begins anew, bounded by the last placement.
        }
    }
}

void placement_client::send_to_home(const entry_ptr& entry) {
    entry->home = homes_.connected_home(entry->acquire.cell);
    entry->asked_at = state_.time.now();
    if (entry->home.empty() && homes_.is_connecting(entry->acquire.cell)) {
        return; // It is sent once the connection is established.
    }
    if (entry->home.empty()) {
        entry->is_answered = true;
        entry->answer = answer_without_home(entry->acquire);
        entry->wake_timer->cancel();
        return;
    }
    homes_.send(entry->home, {entry->acquire});
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

void placement_client::on_prefill_finished(const request_context& context,
                                           const placement_request& request) {
    const cell_id cell = cell_of(request.service);
    homes_.send_to_all(cell,
                       rpc::prefill_finished{context.metadata().id, request.attempt, cell, 0, {}});
    if (const auto entry = find(context.metadata().id, request.attempt)) {
        entry->grant.stage = rpc::grant_stage::transferring;
    }
}

void placement_client::on_first_event(const request_context& context,
                                      const placement_request& request) {
    const cell_id cell = cell_of(request.service);
    const auto& parts = context.metadata().shared_prompt_parts;
    homes_.send_to_all(cell,
                       rpc::first_token{context.metadata().id, request.attempt, cell, {}, parts});
    if (const auto entry = find(context.metadata().id, request.attempt)) {
        entry->grant.stage = rpc::grant_stage::decoding;
    }
}

void placement_client::on_engine_leaving(const discovery::backend& engine) {
    const cell_id cell = cell_of(engine.service);
    homes_.send_to_all(cell, rpc::engine_leaving{cell, engine.id, engine.started});
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
    homes_.send_to_all(cell, release);
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
            homes_.send(home, {unused});
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
        homes_.avoid(home, state_.time.now() + leaving_backoff);
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

void placement_client::on_home_messages(const daemon_id& home,
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

void placement_client::on_home_open(const daemon_id& home) {
    if (!suspects_.parts.empty()) {
        homes_.send(home, {suspects_});
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
    const time_point now = state_.time.now();
    for (const cell_id& cell : cells()) {
        const auto order = homes_.homes_of(cell);
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
        homes_.send(home, {registration});
    }
}

void placement_client::on_home_close(const daemon_id& home) {
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

void placement_client::tick() {
    retry_unassigned(state_.time.now());
}

} // namespace cicadahatch::gateway
