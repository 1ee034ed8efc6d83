#include "src/gateway/home_server.hpp"

#include "src/cells/cell_messages.hpp"
#include "src/cells/wire_conversions.hpp"
#include "src/forwarding/exchange.hpp"
#include "src/gateway/cell_configuration.hpp"
#include "src/gateway/constants.hpp"

#include <algorithm>
#include <variant>

namespace cicadahatch::gateway {

namespace asio = forwarding::asio;
using forwarding::net_error;

home_server::home_server(forwarding::gateway_state& state, scheduling::cell_policy policy)
    : state_(state),
      home_(state.time, policy,
            [&state](const cell_id& cell) { return make_cell_topology(state, cell); }),
      usage_home_(state),
      listener_(state.loop, [this](forwarding::tcp::socket socket) { accept(std::move(socket)); }),
      timer_(state.loop) {}

result<void> home_server::open(const http::endpoint& place) {
    return listener_.open(place);
}

void home_server::accept(forwarding::tcp::socket socket) {
    const auto channel = std::make_shared<peer_channel>(state_.loop, state_.time);
    const std::weak_ptr<peer_channel> weak = channel;
    channel->on_messages(
        [this, weak](const daemon_id& peer, const std::vector<rpc::message>& received) {
            if (const auto from = weak.lock()) {
                on_messages(from, peer, received);
            }
        });
    channels_.push_back(channel);
    channel->accept(std::move(socket));
}

void home_server::on_messages(const std::shared_ptr<peer_channel>& from, const daemon_id& peer,
                              const std::vector<rpc::message>& received) {
    if (!adopt_connection(from, peer)) {
        return;
    }
    home_.renew(peer);
    std::vector<rpc::message> answers;
    bool has_cell_messages = false;
    for (const rpc::message& message : received) {
        if (auto answer = usage_home_.handle(peer, message)) {
            answers.push_back(std::move(*answer));
        }
        has_cell_messages = has_cell_messages || !usage_home::is_usage_message(message);
        note_failed_stream(message);
        note_leaving_engine(message);
        home_.handle(peer, message);
    }
    if (!answers.empty()) {
        from->send(std::move(answers));
    }
    if (has_cell_messages) {
        schedule();
    }
}

bool home_server::adopt_connection(const std::shared_ptr<peer_channel>& from,
                                   const daemon_id& peer) {
    auto& known = channel_by_daemon_[peer];
    if (known == from) {
        return true;
    }
    const auto position = [this](const std::shared_ptr<peer_channel>& channel) {
        return std::find(channels_.begin(), channels_.end(), channel);
    };
    const bool is_superseded = known && known->is_open() && position(from) < position(known);
    const std::shared_ptr<peer_channel> replaced = is_superseded ? from : known;
    state_.log.write(logging::weight::notable, is_superseded ? "home.superseded" : "home.joined",
                     {{"peer", peer.str()}});
    if (!is_superseded) {
        known = from;
        if (!home_.suspects().parts.empty()) {
            from->send({cells::to_message(home_.suspects(), state_.time.now())});
        }
    }
    if (replaced) {
        replaced->close();
    }
    return !is_superseded;
}

void home_server::note_failed_stream(const rpc::message& message) {
    const auto* ended = std::get_if<rpc::release>(&message);
    if (ended == nullptr) {
        return;
    }
    const bool may_still_run = ended->outcome == rpc::release_outcome::decode_failed ||
                               ended->outcome == rpc::release_outcome::no_room;
    const auto cell = home_.cells().find(ended->cell);
    if (!may_still_run || cell == home_.cells().end()) {
        return;
    }
    const auto* grant =
        cell->second.grants.find(cells::attempt_key(ended->request, ended->attempt));
    if (grant != nullptr) {
        polled_until_[grant->issued.decode] = state_.time.now() + usage_poll_time;
    }
}

void home_server::note_leaving_engine(const rpc::message& message) {
    const auto* leaving = std::get_if<rpc::engine_leaving>(&message);
    if (leaving == nullptr) {
        return;
    }
    forwarding::mark_leaving(state_, leaving->backend, leaving->started);
    const auto cell = home_.cells().find(leaving->cell);
    const auto* engine =
        cell == home_.cells().end() ? nullptr : cell->second.engines.find(leaving->backend);
    if (engine != nullptr && !engine->is_leaving) {
        home_.refresh_topology();
    }
}

void home_server::poll_engines_of_new_cells(time_point now) {
    for (const auto& [id, cell] : home_.cells()) {
        if (!known_cells_.insert(id).second) {
            continue;
        }
        for (const scheduling::engine& row : cell.engines.rows()) {
            polled_until_[row.id] = now + usage_poll_time;
        }
    }
}

void home_server::extend_usage_polling(const backend_id& engine) {
    const auto has_unknown_streams = [&engine](const auto& row) {
        const scheduling::engine* found = row.second.engines.find(engine);
        return found != nullptr && found->foreign_streams > 0;
    };
    const auto& cells = home_.cells();
    if (std::any_of(cells.begin(), cells.end(), has_unknown_streams)) {
        polled_until_[engine] = state_.time.now() + usage_poll_time;
    }
}

bool home_server::has_missing_daemons() const {
    return channel_by_daemon_.size() < state_.daemon_ids.size();
}

asio::awaitable<void> home_server::poll_engine(discovery::backend engine) {
    const auto answer =
        co_await forwarding::call_engine(state_, nullptr, engine, state_.wire.make_report_call());
    if (answer.error) {
        co_return; // A failure of the engine is reported by the requests that use it.
    }
    const auto report = state_.wire.parse_report(answer.body);
    if (report) {
        home_.update_usage({engine.id, engine.started, state_.time.now() - report_lag,
                            report->running, report->used_tokens});
        extend_usage_polling(engine.id);
    }
}

void home_server::poll_usage(time_point now) {
    poll_engines_of_new_cells(now);
    std::erase_if(polled_until_, [now](const auto& row) { return row.second <= now; });
    const bool is_due = now - last_poll_at_ >= usage_poll_period;
    if (!is_due || (polled_until_.empty() && !has_missing_daemons())) {
        return;
    }
    last_poll_at_ = now;
    for (const auto& [id, cell] : home_.cells()) {
        if (cell.grants.empty() && cell.waiting.empty()) {
            continue;
        }
        for (const scheduling::engine& row : cell.engines.rows()) {
            const bool is_poll_due = has_missing_daemons() || polled_until_.contains(row.id);
            const discovery::backend* engine = state_.backends.find(row.id);
            const bool is_pollable = engine != nullptr && engine->role == backend_role::decode &&
                                     forwarding::is_available(state_, *engine);
            if (is_poll_due && is_pollable) {
                asio::co_spawn(state_.loop, poll_engine(*engine), asio::detached);
            }
        }
    }
}

void home_server::schedule() {
    if (is_scheduled_) {
        return;
    }
    is_scheduled_ = true;
    timer_.expires_at(std::max(state_.time.now(), last_run_at_ + min_scheduling_interval));
    timer_.async_wait([this](const net_error& error) {
        is_scheduled_ = false;
        if (!error) {
            run();
        }
    });
}

void home_server::log_refused_requests() {
    for (const cells::refused_request& row : home_.take_refusals()) {
        const scheduling::refusal_inputs& inputs = row.refusal.inputs;
        const engines::attempt_id attempt = cells::parse_attempt_key(row.refusal.request);
        state_.log.write(logging::weight::notable, "home.refused",
                         {{"request", attempt.request.str()},
                          {"attempt", attempt.number.value()},
                          {"cell", row.cell.str()},
                          {"reason", row.refusal.reason.message()},
                          {"held_up_by", scheduling::to_string(inputs.last_obstacle)},
                          {"waiting", inputs.waiting},
                          {"predicted_wait_ms", inputs.predicted_wait},
                          {"prefill_engines", inputs.prefill_engines},
                          {"decode_engines", inputs.decode_engines},
                          {"free_slots", inputs.free_slots}});
    }
}

void home_server::log_suspects() {
    for (const cells::suspect_event& row : home_.take_suspect_events()) {
        state_.log.write(logging::weight::notable, "prompt.suspect",
                         {{"change", cells::to_string(row.kind)},
                          {"part", logging::format_hashes({row.part})},
                          {"crashes", row.crashes},
                          {"common_parts", row.common_parts},
                          {"backend", row.engine.str()},
                          {"request", row.request.str()}});
    }
}

void home_server::publish_suspects() {
    const auto changed = home_.take_changed_suspects();
    if (!changed) {
        return;
    }
    for (const auto& [daemon, channel] : channel_by_daemon_) {
        channel->send({*changed});
    }
}

void home_server::run() {
    last_run_at_ = state_.time.now();
    home_.tick();
    log_refused_requests();
    log_suspects();
    publish_suspects();
    std::map<daemon_id, std::vector<rpc::message>> by_receiver;
    for (cells::outgoing_message& message : home_.take_messages()) {
        by_receiver[message.destination].push_back(std::move(message.payload));
    }
    for (auto& [to, messages] : by_receiver) {
        const auto channel = channel_by_daemon_.find(to);
        if (channel != channel_by_daemon_.end()) {
            channel->second->send(std::move(messages));
        }
    }
    if (home_.has_waiting() && !is_scheduled_) {
        is_scheduled_ = true;
        timer_.expires_after(waiting_scheduling_interval);
        timer_.async_wait([this](const net_error& error) {
            is_scheduled_ = false;
            if (!error) {
                run();
            }
        });
    }
}

void home_server::refresh() {
    home_.refresh_topology();
    schedule();
}

void home_server::set_paused(const cell_id& cell, const backend_id& engine, bool is_paused) {
    home_.set_paused(cell, engine, is_paused);
    schedule();
}

void home_server::leave() {
    home_.leave();
    usage_home_.leave();
    schedule();
}

void home_server::send_heartbeats() {
    const time_point now = state_.time.now();
    const bool is_idle_due = now - last_heartbeat_at_ >= idle_heartbeat_period;
    if (is_idle_due) {
        last_heartbeat_at_ = now;
    }
    for (const auto& [daemon, channel] : channel_by_daemon_) {
        if (is_idle_due || home_.has_waiting(daemon)) {
            channel->send({});
        }
        if (is_idle_due && channel->is_open()) {
            home_.renew(daemon);
        }
    }
}

void home_server::tick() {
    std::erase_if(channels_, [](const auto& channel) { return !channel->is_open(); });
    for (auto row = channel_by_daemon_.begin(); row != channel_by_daemon_.end();) {
        if (row->second->is_open()) {
            ++row;
            continue;
        }
        state_.log.write(logging::weight::notable, "home.parted", {{"peer", row->first.str()}});
        home_.disconnect(row->first);
        row = channel_by_daemon_.erase(row);
    }
    usage_home_.tick();
    send_heartbeats();
    poll_usage(state_.time.now());
    if (!home_.cells().empty()) {
        schedule();
    }
}

} // namespace cicadahatch::gateway
