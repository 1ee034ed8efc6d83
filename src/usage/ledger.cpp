#include "src/usage/ledger.hpp"

#include <algorithm>
#include <utility>

namespace cicadahatch::usage {

namespace {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

/// Longest time for which room is promised. Callers wait for at most a third of the time that they
/// have left, which is 14 s for the longest requests.
constexpr duration max_promise = 4s;

/// Part of the slack by which a bucket exceeds the stated burst. The burst of a small team holds
/// one or two requests, so that it would be refused for the size of its requests while it is below
/// its rate. The rest of the slack is for homes that don't hear of each other.
constexpr double capacity_slack_share = 0.4;

/// Part of an added capacity that is available at once. The home before may have emptied its
/// bucket, and a home that ends and returns is followed by another twice within seconds.
constexpr double initial_fill = 0.1;

/// \returns the capacity of the bucket of all ledgers together
double whole_capacity(const ledger& book, const account& row) {
    return row.cap.burst + capacity_slack_share * book.slack;
}

double capacity(const ledger& book, const account& row) {
    return whole_capacity(book, row) * book.share;
}

double rate(const ledger& book, const account& row) {
    return row.cap.units_per_second * book.share;
}

void refill(const ledger& book, account& row, time_point now) {
    const seconds elapsed = std::max(duration{0}, now - row.refilled_at);
    row.balance = std::min(capacity(book, row), row.balance + elapsed.count() * rate(book, row));
    row.refilled_at = now;
}

duration time_to_refill(const ledger& book, const account& row, double units) {
    if (rate(book, row) <= 0) {
        return max_promise;
    }
    const seconds needed{std::max(0.0, units) / rate(book, row)};
    return std::min(max_promise, std::chrono::ceil<duration>(needed));
}

/// Refuses a request and reserves its place behind the callers that were refused before it.
decision refuse(const ledger& book, account& row, double units, double missing, time_point now) {
    const time_point room = std::max(now + time_to_refill(book, row, missing), row.promised_until);
    row.promised_until = std::min(room + time_to_refill(book, row, units), now + max_promise);
    return {decision::outcome::refused, std::min(duration{room - now}, max_promise)};
}

} // namespace

void set_caps(ledger& book, const std::vector<routing::team>& teams, time_point now) {
    const auto earlier = std::exchange(book.accounts, {});
    for (const routing::team& team : teams) {
        if (team.cap.units_per_second <= 0 || book.accounts.contains(team.id)) {
            continue;
        }
        account row;
        row.id = team.id;
        row.cap = team.cap;
        row.refilled_at = now;
        row.balance = initial_fill * capacity(book, row);
        if (const account* known = earlier.find(team.id)) {
            row.refilled_at = known->refilled_at;
            row.balance = known->balance;
            row.promised_until = known->promised_until;
        }
        refill(book, row, now);
        book.accounts.insert(row);
    }
}

void set_share(ledger& book, double share, time_point now) {
    for (account& row : book.accounts.rows()) {
        refill(book, row, now);
    }
    const double earlier = std::exchange(book.share, share);
    for (account& row : book.accounts.rows()) {
        const double added = std::max(0.0, share - earlier) * whole_capacity(book, row);
        row.balance += initial_fill * added;
        refill(book, row, now);
    }
}

decision take(ledger& book, const team_id& team, double units, time_point now) {
    account* row = book.accounts.find(team);
    if (row == nullptr) {
        return {};
    }
    if (units > row->cap.burst + book.slack) {
        return {decision::outcome::never, duration{0}};
    }
    refill(book, *row, now);
    const double needed = book.may_lend ? std::min(units, capacity(book, *row)) : units;
    if (row->balance < needed) {
        return refuse(book, *row, units, needed - row->balance, now);
    }
    row->balance -= units;
    return {};
}

bool has_room_in_advance(const ledger& book, const team_id& team) {
    const account* row = book.accounts.find(team);
    return row == nullptr || row->balance > capacity(book, *row) / 2;
}

void give_back(ledger& book, const team_id& team, double units, time_point now) {
    if (account* row = book.accounts.find(team)) {
        row->balance += units;
        refill(book, *row, now);
    }
}

double share_of(const std::map<domain_id, std::size_t>& registered,
                const std::set<domain_id>& heard) {
    std::size_t all = 0;
    std::size_t reached = 0;
    for (const auto& [domain, daemons] : registered) {
        all += daemons;
        reached += heard.contains(domain) ? daemons : 0;
    }
    return all == 0 ? 0 : static_cast<double>(reached) / static_cast<double>(all);
}

} // namespace cicadahatch::usage
