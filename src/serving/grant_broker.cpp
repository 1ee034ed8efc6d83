#include "src/serving/grant_broker.hpp"

#include "src/cells/wire_conversions.hpp"
#include "src/core/hash.hpp"
#include "src/scheduling/cell_home.hpp"

#include <algorithm>

namespace cicadahatch::serving {

using cells::attempt_key;

namespace {

/// A request whose home has not answered is sent again after this time; the home knows repeats.
constexpr std::chrono::milliseconds resend_period{500};

constexpr std::chrono::milliseconds default_retry_after{500};

/// Added to the time to first token by another failure domain: there and back, several calls.
constexpr std::chrono::milliseconds cross_domain_delay{10};

problem to_problem(const rpc::refused& answer) {
    problem told;
    told.ran = execution::not_run;
    told.retry_after = answer.retry_after.count() > 0 ? answer.retry_after : default_retry_after;
    switch (answer.reason) {
    case rpc::refusal_reason::target_unreachable:
    case rpc::refusal_reason::deadline_passed:
        told.code = errc::deadline_unreachable;
        break;
    case rpc::refusal_reason::too_large:
        told.code = errc::prompt_too_long;
        told.retry_after = {};
        break;
    case rpc::refusal_reason::no_engine:
        told.code = errc::no_backend;
        break;
    case rpc::refusal_reason::queue_full:
    case rpc::refusal_reason::unknown_service:
    case rpc::refusal_reason::duplicate_request:
    case rpc::refusal_reason::retry_budget_spent:
    case rpc::refusal_reason::registration_pending:
    case rpc::refusal_reason::not_home:
    case rpc::refusal_reason::leaving:
    case rpc::refusal_reason::crashes_engines:
        told.code = errc::overloaded;
        break;
    }
    return told;
}

/// A refusal that says nothing about the request: another daemon may grant it.
bool is_about_the_home(rpc::refusal_reason reason) {
    return reason == rpc::refusal_reason::not_home || reason == rpc::refusal_reason::leaving ||
           reason == rpc::refusal_reason::registration_pending ||
           reason == rpc::refusal_reason::unknown_service;
}

/// A request to decide on, or room for one that waits.
bool brings_work(const rpc::message& received) {
    return std::holds_alternative<rpc::acquire>(received) ||
           std::holds_alternative<rpc::release>(received);
}

rpc::grant_record to_record(const rpc::acquire& asked, const rpc::granted& held,
                            const daemon_id& self) {
    rpc::grant_record record;
    record.request = asked.request;
    record.attempt = asked.attempt;
    record.grant = held.grant;
    record.holder = self;
    record.service = asked.service;
    record.team = asked.team;
    record.work_rank = asked.work_rank;
    record.stage = rpc::grant_stage::decoding;
    record.prefill_backend = held.prefill_backend;
    record.decode_backend = held.decode_backend;
    record.prompt_tokens = asked.prompt_tokens;
    record.expected_output_tokens = asked.expected_output_tokens;
    record.kv_pieces = held.kv_pieces;
    record.between_tokens_target = asked.between_tokens_target;
    return record;
}

} // namespace

grant_broker::grant_broker(const clock& time, scheduling::cell_policy policy,
                           backend_directory& directory, engines::canceller& cancels,
                           peer_network& network, domain_id domain,
                           std::size_t max_engines_per_cell)
    : time_(time), network_(network), directory_(directory), domain_(std::move(domain)),
      max_engines_per_cell_(max_engines_per_cell), random_(stable_hash(network.self().str())),
      host_(time, policy, directory, cancels,
            [this](const daemon_id& to, rpc::message sent) { send(to, std::move(sent)); }) {}

std::size_t grant_broker::tickets() const {
    const std::lock_guard lock{mutex_};
    return tickets_.size();
}

void grant_broker::send(const daemon_id& to, rpc::message sent) {
    if (to == network_.self()) {
        deliver(to, sent);
        return;
    }
    network_.send(to, std::move(sent));
}

std::shared_ptr<grant_ticket> grant_broker::acquire(rpc::acquire asked) {
    // What this daemon has just learnt of its servers counts for this request already.
    if (refreshed_version_ != directory_.version()) {
        refresh();
    }
    daemon_id home;
    {
        const std::lock_guard lock{mutex_};
        asked.cell = choose(asked);
        home = home_of(asked.cell);
    }
    auto ticket = std::make_shared<grant_ticket>(asked);
    if (home.empty()) {
        const problem none{errc::no_backend, execution::not_run, default_retry_after, {}};
        ticket->answer(tl::unexpected(none));
        return ticket;
    }
    {
        const std::lock_guard lock{mutex_};
        tickets_.insert(
            {attempt_key(asked.request, asked.attempt), ticket, asked, home, time_.now()});
    }
    send(home, asked);
    return ticket;
}

bool grant_broker::is_layout_stale() const {
    const std::lock_guard lock{mutex_};
    return laid_out_ != directory_.configured();
}

cell_id grant_broker::choose(const rpc::acquire& asked) {
    scheduling::choice_request wanted;
    wanted.model = asked.model;
    wanted.rank = asked.work_rank;
    wanted.first_token = asked.first_token_target;
    wanted.elapsed = asked.waited;
    wanted.cross_domain_delay = cross_domain_delay;
    const auto digests = digests_.digests_of(asked.model, idle_digests_);
    const auto target = scheduling::choose_cell(digests, domain_, wanted, random_);
    if (target) {
        return target->cell;
    }
    // Digests lag. Where all say that nothing takes work, the nearest home has the last word.
    const auto nearest =
        std::find_if(digests.begin(), digests.end(),
                     [&](const scheduling::cell_digest& one) { return one.domain == domain_; });
    return nearest == digests.end() ? cell_id{} : nearest->id;
}

daemon_id grant_broker::home_of(const cell_id& cell) const {
    const auto plan = std::find_if(plans_.begin(), plans_.end(),
                                   [&](const cell_plan& one) { return one.id == cell; });
    if (plan == plans_.end()) {
        return {};
    }
    const auto homes = scheduling::cell_homes(cell, daemons_of(plan->domain), 1);
    return homes.empty() ? daemon_id{} : homes.front();
}

std::vector<daemon_id> grant_broker::daemons_of(const domain_id& domain) const {
    auto live = network_.live_daemons(domain);
    // The last daemon of its domain keeps the cells until its own shutdown has ended.
    if (live.empty() && domain == domain_) {
        live.push_back(network_.self());
    }
    return live;
}

daemon_id grant_broker::current_home(const grant_ticket& ticket) const {
    const std::lock_guard lock{mutex_};
    const ticket_row* row =
        tickets_.find(attempt_key(ticket.asked().request, ticket.asked().attempt));
    return row == nullptr ? home_of(ticket.asked().cell) : row->home;
}

std::shared_ptr<grant_ticket> grant_broker::ticket_of(const ticket_key& key) {
    const std::lock_guard lock{mutex_};
    const ticket_row* row = tickets_.find(key);
    return row == nullptr ? nullptr : row->ticket.lock();
}

void grant_broker::prefill_finished(const grant_ticket& ticket, std::uint32_t cached_tokens) {
    const rpc::acquire& asked = ticket.asked();
    rpc::prefill_finished told;
    told.cached_tokens = cached_tokens;
    told.request = asked.request;
    told.attempt = asked.attempt;
    told.cell = asked.cell;
    send(current_home(ticket), told);
}

void grant_broker::first_token(const grant_ticket& ticket) {
    const rpc::acquire& asked = ticket.asked();
    rpc::first_token told;
    told.request = asked.request;
    told.attempt = asked.attempt;
    told.cell = asked.cell;
    send(current_home(ticket), told);
}

void grant_broker::release(const grant_ticket& ticket, rpc::release_outcome ended,
                           std::uint32_t output_tokens) {
    const rpc::acquire& asked = ticket.asked();
    daemon_id home;
    {
        const std::lock_guard lock{mutex_};
        const auto key = attempt_key(asked.request, asked.attempt);
        const ticket_row* row = tickets_.find(key);
        if (row == nullptr) {
            return;
        }
        home = row->home;
        tickets_.erase(key);
    }
    if (ticket.held()) {
        rpc::release told;
        told.request = asked.request;
        told.attempt = asked.attempt;
        told.cell = asked.cell;
        told.outcome = ended;
        told.output_tokens = output_tokens;
        return send(home, told);
    }
    send(home, rpc::withdraw{asked.request, asked.attempt, asked.cell});
}

void grant_broker::deliver(const daemon_id& from, const rpc::message& received) {
    if (const auto* answer = std::get_if<rpc::granted>(&received)) {
        return on(*answer, from);
    }
    if (const auto* answer = std::get_if<rpc::refused>(&received)) {
        return on(*answer);
    }
    if (const auto* wanted = std::get_if<rpc::request_registration>(&received)) {
        return on(*wanted, from);
    }
    host_.handle(from, received);
    if (on_work_ && brings_work(received)) {
        on_work_();
    }
}

void grant_broker::on(const rpc::granted& answer, const daemon_id& from) {
    const auto ticket = ticket_of(attempt_key(answer.request, answer.attempt));
    const bool is_taken = ticket != nullptr && ticket->answer(answer);
    if (is_taken) {
        return;
    }
    const auto held = ticket == nullptr ? std::nullopt : ticket->held();
    if (held && held->grant == answer.grant && held->prefill_backend == answer.prefill_backend &&
        held->decode_backend == answer.decode_backend) {
        return;
    }
    rpc::release told;
    told.request = answer.request;
    told.attempt = answer.attempt;
    told.cell = answer.cell;
    told.outcome = rpc::release_outcome::superseded;
    send(from, told);
}

void grant_broker::on(const rpc::refused& answer) {
    const auto key = attempt_key(answer.request, answer.attempt);
    if (is_about_the_home(answer.reason)) {
        return send_soon(key);
    }
    const auto ticket = ticket_of(key);
    if (ticket == nullptr || !ticket->answer(tl::unexpected(to_problem(answer)))) {
        return;
    }
    const std::lock_guard lock{mutex_};
    tickets_.erase(key);
}

void grant_broker::on(const rpc::request_registration& wanted, const daemon_id& from) {
    rpc::register_grants told;
    told.cell = wanted.cell;
    {
        const std::lock_guard lock{mutex_};
        for (ticket_row& row : tickets_.rows()) {
            const auto ticket = row.ticket.lock();
            const auto held = ticket == nullptr ? std::nullopt : ticket->held();
            if (row.asked.cell == wanted.cell && held) {
                row.home = from;
                told.grants.push_back(to_record(row.asked, *held, network_.self()));
            }
        }
    }
    send(from, told);
}

void grant_broker::note_lost(const std::vector<rpc::message>& lost) {
    for (const rpc::message& one : lost) {
        if (const auto* asked = std::get_if<rpc::acquire>(&one)) {
            send_soon(attempt_key(asked->request, asked->attempt));
        }
        if (const auto* copied = std::get_if<rpc::copy_grants>(&one)) {
            host_.note_lost_copy(copied->cell);
        }
    }
}

void grant_broker::send_soon(const ticket_key& key) {
    const std::lock_guard lock{mutex_};
    if (ticket_row* row = tickets_.find(key)) {
        row->sent_at = time_.now() - resend_period;
    }
}

void grant_broker::refresh() {
    const std::uint64_t version = directory_.version();
    if (is_layout_stale()) {
        lay_out();
    }
    const auto live = daemons_of(domain_);
    update_homes(live);
    host_.renew(live);
    host_.ingest_loads();
    for (const ticket_row& row : stale_rows()) {
        send_again(row);
    }
    refreshed_version_ = version;
}

void grant_broker::lay_out() {
    const revision configured = directory_.configured();
    auto plans = lay_out_cells(directory_.backends(), max_engines_per_cell_);
    std::vector<cell_id> names;
    const std::lock_guard lock{mutex_};
    idle_digests_.clear();
    for (const cell_plan& plan : plans) {
        names.push_back(plan.id);
        scheduling::cell_digest idle;
        idle.id = plan.id;
        idle.domain = plan.domain;
        idle.model = plan.model;
        idle_digests_.push_back(std::move(idle));
    }
    digests_.keep_only(names);
    plans_ = std::move(plans);
    laid_out_ = configured;
}

std::size_t grant_broker::cell_count() const {
    const std::lock_guard lock{mutex_};
    return plans_.size();
}

std::size_t grant_broker::own_cell_count() const {
    const std::lock_guard lock{mutex_};
    const auto own = std::count_if(plans_.begin(), plans_.end(),
                                   [&](const cell_plan& plan) { return plan.domain == domain_; });
    return static_cast<std::size_t>(own);
}

std::vector<cell_plan> grant_broker::own_plans() const {
    const std::lock_guard lock{mutex_};
    std::vector<cell_plan> own;
    for (const cell_plan& plan : plans_) {
        if (plan.domain == domain_) {
            own.push_back(plan);
        }
    }
    return own;
}

cell_plan grant_broker::with_present_state(cell_plan plan) const {
    for (backend_row& server : plan.engines) {
        if (auto present = directory_.backend(server.id)) {
            server = std::move(*present);
        }
    }
    return plan;
}

void grant_broker::update_homes(const std::vector<daemon_id>& live) {
    std::set<cell_id> hosted;
    std::map<cell_id, daemon_id> successors;
    for (const cell_plan& plan : own_plans()) {
        const auto homes = scheduling::cell_homes(plan.id, live, 2);
        if (homes.empty() || homes.front() != network_.self()) {
            continue;
        }
        hosted.insert(plan.id);
        host_.host(with_present_state(plan), live);
        if (homes.size() > 1) {
            successors[plan.id] = homes[1];
        }
    }
    host_.keep_only(hosted);
    host_.copy_to(successors);
}

std::vector<scheduling::cell_digest> grant_broker::own_digests() {
    auto own = host_.digests();
    for (const scheduling::cell_digest& digest : own) {
        digests_.note(digest);
    }
    return own;
}

std::vector<grant_broker::ticket_row> grant_broker::stale_rows() {
    const std::lock_guard lock{mutex_};
    const time_point now = time_.now();
    std::vector<ticket_row> stale;
    for (ticket_row& row : tickets_.rows()) {
        const auto ticket = row.ticket.lock();
        if (ticket == nullptr || ticket->held()) {
            continue;
        }
        const daemon_id home = home_of(row.asked.cell);
        if (home == row.home && now - row.sent_at < resend_period) {
            continue;
        }
        row.home = home;
        row.sent_at = now;
        stale.push_back(row);
    }
    return stale;
}

void grant_broker::send_again(const ticket_row& row) {
    if (!row.home.empty()) {
        send(row.home, row.asked);
    }
}

} // namespace cicadahatch::serving
