#include "src/gateway/usage_home.hpp"

#include "src/gateway/constants.hpp"

#include <cmath>
#include <variant>

namespace cicadahatch::gateway {

namespace {

using namespace std::chrono_literals;

/// Time after which the daemons of a silent domain count as relying on another home: two and a half
/// periods of their presence messages.
constexpr std::chrono::milliseconds presence_timeout = 2500ms;

/// Change of the share that is worth a log line.
constexpr double logged_share_change = 0.05;

} // namespace

usage_home::usage_home(forwarding::gateway_state& state) : state_(state) {
    ledger_.may_lend = true;
}

bool usage_home::is_usage_message(const rpc::message& message) {
    return std::holds_alternative<rpc::usage_request>(message) ||
           std::holds_alternative<rpc::usage_return>(message) ||
           std::holds_alternative<rpc::usage_presence>(message);
}

void usage_home::refresh_caps(time_point now) {
    if (table_ == state_.table || !state_.table) {
        return;
    }
    table_ = state_.table;
    ledger_.slack = state_.options.usage_slack;
    usage::set_caps(ledger_, table_->teams(), now);
}

void usage_home::refresh_share(time_point now) {
    std::erase_if(heard_at_,
                  [now](const auto& row) { return now - row.second > presence_timeout; });
    std::map<domain_id, std::size_t> registered;
    for (const auto& [daemon, domain] : state_.daemon_domains) {
        ++registered[domain];
    }
    std::set<domain_id> heard;
    for (const auto& [domain, at] : heard_at_) {
        heard.insert(domain);
    }
    const double share = usage::share_of(registered, heard);
    if (share == ledger_.share) {
        return;
    }
    usage::set_share(ledger_, share, now);
    if (std::abs(share - logged_share_) < logged_share_change) {
        return;
    }
    logged_share_ = share;
    state_.log.write(logging::weight::notable, "usage.share",
                     {{"share", share},
                      {"domains_heard", heard_at_.size()},
                      {"daemons", state_.daemon_domains.size()},
                      {"accounts", ledger_.accounts.size()}});
}

rpc::usage_answer usage_home::answer(const rpc::usage_request& request, time_point now) {
    rpc::usage_answer reply;
    reply.ticket = request.ticket;
    if (is_leaving_) {
        reply.is_leaving = true;
        return reply;
    }
    const usage::decision decision =
        usage::take(ledger_, request.team, static_cast<double>(request.units), now);
    reply.is_granted = decision.result == usage::decision::outcome::granted;
    reply.is_final = decision.result == usage::decision::outcome::never;
    reply.retry_after = std::chrono::ceil<std::chrono::milliseconds>(decision.retry_after);
    if (!reply.is_granted) {
        return reply;
    }
    reply.units = request.units;
    if (request.extra > 0 && usage::has_room_in_advance(ledger_, request.team) &&
        usage::take(ledger_, request.team, static_cast<double>(request.extra), now).result ==
            usage::decision::outcome::granted) {
        reply.units += request.extra;
    }
    return reply;
}

std::optional<rpc::message> usage_home::handle(const daemon_id& from, const rpc::message& message) {
    if (!is_usage_message(message)) {
        return std::nullopt;
    }
    const time_point now = state_.lease_time.now();
    refresh_caps(now);
    const auto domain = state_.daemon_domains.find(from);
    if (domain != state_.daemon_domains.end() &&
        heard_at_.insert_or_assign(domain->second, now).second) {
        refresh_share(now);
    }
    if (const auto* returned = std::get_if<rpc::usage_return>(&message)) {
        usage::give_back(ledger_, returned->team, static_cast<double>(returned->units), now);
    }
    if (const auto* request = std::get_if<rpc::usage_request>(&message)) {
        return answer(*request, now);
    }
    return std::nullopt;
}

void usage_home::tick() {
    if (heard_at_.empty()) {
        return; // This daemon is not a home.
    }
    const time_point now = state_.lease_time.now();
    refresh_caps(now);
    refresh_share(now);
}

} // namespace cicadahatch::gateway
