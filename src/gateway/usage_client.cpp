#include "src/gateway/usage_client.hpp"

#include "src/gateway/constants.hpp"
#include "src/usage/units.hpp"

#include <algorithm>

namespace cicadahatch::gateway {

namespace asio = forwarding::asio;
using forwarding::net_error;
using forwarding::usage_decision;
using std::chrono::milliseconds;

namespace {

using namespace std::chrono_literals;

/// The cell whose home keeps the accounts. A service's name has no space.
const cell_id& usage_cell() {
    static const cell_id id{"usage caps"};
    return id;
}

/// Wait of a plain request for its home. Its objective is a few times this.
constexpr milliseconds plain_wait = 50ms;

/// Wait of a stream for its home, which covers the loss of one home.
constexpr milliseconds stream_wait = 500ms;

constexpr milliseconds presence_period = 1000ms;

usage::request_size size_of(const forwarding::request_metadata& metadata) {
    return {metadata.states_tokens, metadata.prompt_tokens, metadata.max_output_tokens};
}

} // namespace

usage_client::usage_client(forwarding::gateway_state& state, home_connections& homes)
    : state_(state), homes_(homes) {}

asio::awaitable<usage_decision> usage_client::take(forwarding::request_context_ptr request) {
    const routing::team* owner = request->owner();
    if (owner == nullptr || owner->cap.units_per_second <= 0) {
        co_return usage_decision{};
    }
    rpc::usage_request question;
    question.team = owner->id;
    question.units = usage::units_of(owner->cap, size_of(request->metadata()));
    if (request->route().kind == routing::request_kind::streaming) {
        co_return co_await ask(request, question, stream_wait);
    }
    const time_point now = state_.lease_time.now();
    usage::credit& prepaid = credits_[owner->id];
    question.extra = usage::prepayment(prepaid, now);
    usage::record_use(prepaid, question.units, now);
    if (usage::spend(prepaid, question.units, now)) {
        usage_decision granted;
        granted.units = question.units;
        granted.is_from_account = true;
        co_return granted;
    }
    co_return co_await ask(request, question, plain_wait);
}

asio::awaitable<usage_decision> usage_client::ask(forwarding::request_context_ptr request,
                                                  rpc::usage_request question,
                                                  milliseconds max_wait) {
    const auto row = std::make_shared<pending_request>();
    row->request = std::move(question);
    row->request.ticket = ++last_ticket_;
    row->timer = std::make_shared<asio::steady_timer>(state_.loop);
    row->timer->expires_after(max_wait);
    send_to_home(*row);
    if (row->home.empty() && !homes_.is_connecting(usage_cell())) {
        co_return decide_locally(row->request);
    }
    pending_[row->request.ticket] = row;
    request->set_end_handler([timer = row->timer] { timer->cancel(); });
    if (!request->is_ended()) {
        net_error ignored; // The wait ends with the answer, the time or the request.
        co_await row->timer->async_wait(forwarding::capture_error(ignored));
    }
    request->set_end_handler({});
    if (row->is_answered) {
        co_return settle(*row);
    }
    row->is_abandoned = true;
    if (row->home.empty()) {
        pending_.erase(row->request.ticket);
    }
    co_return decide_locally(row->request);
}

usage_decision usage_client::settle(const pending_request& answered) {
    usage_decision decision;
    if (!answered.answer.is_granted) {
        state_.log.write(logging::weight::notable, "usage.refused",
                         {{"team", answered.request.team.str()},
                          {"units", answered.request.units},
                          {"home", answered.home.str()},
                          {"final", answered.answer.is_final},
                          {"retry_after_ms", answered.answer.retry_after}});
        decision.result = usage_decision::outcome::exceeded;
        if (!answered.answer.is_final) {
            decision.retry_after = answered.answer.retry_after;
        }
        return decision;
    }
    decision.units = answered.request.units;
    decision.is_from_account = true;
    const std::uint64_t in_advance =
        answered.answer.units - std::min(answered.answer.units, answered.request.units);
    if (in_advance > 0) {
        usage::add(credits_[answered.request.team], in_advance, state_.lease_time.now());
    }
    return decision;
}

usage_decision usage_client::decide_locally(const rpc::usage_request& request) {
    const time_point now = state_.lease_time.now();
    if (local_table_ != state_.table) {
        local_table_ = state_.table;
        local_.slack = state_.options.usage_slack;
        usage::set_caps(local_, local_table_->teams(), now);
    }
    const auto daemons = static_cast<double>(std::max<std::size_t>(1, state_.daemons.value));
    usage::set_share(local_, 1 / daemons, now);
    const usage::decision taken =
        usage::take(local_, request.team, static_cast<double>(request.units), now);
    usage_decision decision;
    decision.units = request.units;
    if (taken.result != usage::decision::outcome::granted) {
        decision.result = usage_decision::outcome::unavailable;
    }
    state_.log.write(logging::weight::notable, "usage.decided_alone",
                     {{"team", request.team.str()},
                      {"units", request.units},
                      {"granted", taken.result == usage::decision::outcome::granted},
                      {"daemons", state_.daemons.value}});
    return decision;
}

void usage_client::give_back(const forwarding::request_context& request,
                             const usage_decision& decision) {
    if (request.owner() != nullptr && decision.is_from_account && decision.units > 0) {
        homes_.send(homes_.connected_home(usage_cell()),
                    {rpc::usage_return{request.owner()->id, decision.units}});
    }
}

std::set<cell_id> usage_client::cells() const {
    const bool has_caps =
        state_.table && std::any_of(state_.table->teams().begin(), state_.table->teams().end(),
                                    [](const auto& row) { return row.cap.units_per_second > 0; });
    return has_caps ? std::set{usage_cell()} : std::set<cell_id>{};
}

std::optional<time_point> usage_client::oldest_unanswered(const daemon_id& home) const {
    // Tickets grow, so the first row of a home is its oldest but for those that were sent again.
    const auto found = std::find_if(pending_.begin(), pending_.end(), [&home](const auto& row) {
        return !row.second->is_answered && row.second->home == home;
    });
    return found == pending_.end() ? std::nullopt : std::optional{found->second->sent_at};
}

void usage_client::send_to_home(pending_request& row) {
    row.home = homes_.connected_home(usage_cell());
    row.sent_at = state_.time.now();
    if (!row.home.empty()) {
        homes_.send(row.home, {row.request});
    }
}

void usage_client::on_home_open(const daemon_id& home) {
    if (homes_.connected_home(usage_cell()) != home) {
        return;
    }
    send_presence();
    for (const auto& [ticket, row] : pending_) {
        if (!row->is_answered && !row->is_abandoned && row->home.empty()) {
            send_to_home(*row);
        }
    }
}

void usage_client::on_home_messages(const daemon_id& home,
                                    const std::vector<rpc::message>& received) {
    for (const rpc::message& message : received) {
        if (const auto* answer = std::get_if<rpc::usage_answer>(&message)) {
            handle(home, *answer);
        }
    }
}

void usage_client::handle(const daemon_id& home, const rpc::usage_answer& answer) {
    const auto found = pending_.find(answer.ticket);
    if (found == pending_.end() || found->second->home != home) {
        return;
    }
    const pending_ptr row = found->second;
    if (answer.is_leaving && !row->is_abandoned) {
        homes_.avoid(home, state_.time.now() + leaving_backoff);
        send_to_home(*row);
        return;
    }
    pending_.erase(found);
    if (row->is_abandoned) {
        if (answer.is_granted) {
            homes_.send(home, {rpc::usage_return{row->request.team, answer.units}});
        }
        return;
    }
    row->answer = answer;
    row->is_answered = true;
    row->timer->cancel();
}

void usage_client::on_home_close(const daemon_id& home) {
    std::erase_if(pending_, [&home](const auto& row) {
        return row.second->is_abandoned && row.second->home == home;
    });
    for (const auto& [ticket, row] : pending_) {
        if (!row->is_answered && row->home == home) {
            send_to_home(*row);
        }
    }
}

void usage_client::send_presence() {
    presence_sent_at_ = state_.time.now();
    homes_.send(homes_.connected_home(usage_cell()), {rpc::usage_presence{}});
}

void usage_client::return_expired_credit() {
    const time_point now = state_.lease_time.now();
    for (auto& [team, prepaid] : credits_) {
        const std::uint64_t unused = usage::take_expired(prepaid, now);
        if (unused > 0) {
            homes_.send(homes_.connected_home(usage_cell()), {rpc::usage_return{team, unused}});
        }
    }
}

void usage_client::tick() {
    if (cells().empty()) {
        return;
    }
    return_expired_credit();
    if (state_.time.now() - presence_sent_at_ >= presence_period) {
        send_presence();
    }
}

} // namespace cicadahatch::gateway
