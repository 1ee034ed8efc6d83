#include "bench/replay/world.hpp"

#include <algorithm>
#include <utility>

namespace cicadahatch::replay {

using namespace std::chrono_literals;

namespace {

constexpr double noise = 0.1;
constexpr duration report_period = 100ms;
constexpr duration failure_notice = 20ms;
constexpr duration drain_time = 15s;

duration with_noise(world& in, duration value) {
    const double factor = 1 + noise * (2 * in.random.unit() - 1);
    return duration{static_cast<duration::rep>(static_cast<double>(value.count()) * factor)};
}

std::uint32_t pieces_of(const request_row& request) {
    const std::uint32_t tokens = request.sent.prompt_tokens + request.sent.output_tokens;
    return (tokens + piece_tokens - 1) / piece_tokens;
}

template <class... Arguments>
void tell(const std::function<void(Arguments...)>& listener, Arguments... arguments) {
    if (listener) {
        listener(arguments...);
    }
}

void begin_next_prefill(world& in, std::size_t prefill);
void serve_pending(world& in, std::size_t decode);

void waste(world& in, duration work) {
    in.prefill_wasted += work;
}

void finish_prefill(world& in, std::size_t number, std::uint64_t attempt) {
    request_row& request = in.requests[number];
    if (request.attempt != attempt || request.state != progress::prefilling) {
        return;
    }
    in.prefill_done += in.now - request.prefill_began;
    request.state = progress::prefilled;
    request.prefilled_at = in.now;
    in.prefills[request.prefill].is_busy = false;
    in.routes->prefilled(in, number);
    begin_next_prefill(in, request.prefill);
}

std::list<std::size_t>::iterator next_queued(world& in, prefill_row& engine) {
    if (!in.routes->is_priority_honoured) {
        return engine.queued.begin();
    }
    return std::min_element(engine.queued.begin(), engine.queued.end(),
                            [&](std::size_t one, std::size_t other) {
                                return in.requests[one].sent.rank < in.requests[other].sent.rank;
                            });
}

void begin_next_prefill(world& in, std::size_t prefill) {
    prefill_row& engine = in.prefills[prefill];
    if (engine.is_busy || engine.is_dead || engine.queued.empty()) {
        return;
    }
    const auto next = next_queued(in, engine);
    const std::size_t number = *next;
    engine.queued.erase(next);
    engine.is_busy = true;
    engine.running = number;
    request_row& request = in.requests[number];
    request.state = progress::prefilling;
    request.prefill_began = in.now;
    const std::uint64_t attempt = request.attempt;
    after(in, with_noise(in, prefill_time(request.sent.prompt_tokens)),
          [&in, number, attempt] { finish_prefill(in, number, attempt); });
}

void leave_decode(world& in, std::size_t number) {
    const request_row& request = in.requests[number];
    decode_row& engine = in.decodes[request.decode];
    std::erase(engine.streams, number);
    --engine.taken_slots;
    engine.taken_pieces -= pieces_of(request);
    serve_pending(in, request.decode);
}

void begin_step(world& in, std::size_t decode);

void give_token(world& in, std::size_t number) {
    request_row& request = in.requests[number];
    ++request.tokens;
    request.last_token_at = in.now;
    if (request.tokens == 1) {
        request.first_token_at = in.now;
        tell<world&, std::size_t>(in.routes->began, in, number);
    }
    if (request.tokens >= request.sent.output_tokens) {
        request.state = progress::finished;
        leave_decode(in, number);
        tell<world&, std::size_t>(in.routes->ended, in, number);
    }
}

void end_step(world& in, std::size_t decode, const std::vector<std::size_t>& batch) {
    decode_row& engine = in.decodes[decode];
    engine.is_stepping = false;
    if (engine.is_dead) {
        return;
    }
    for (const std::size_t number : batch) {
        const request_row& request = in.requests[number];
        if (request.state == progress::decoding && request.decode == decode) {
            give_token(in, number);
        }
    }
    begin_step(in, decode);
}

void begin_step(world& in, std::size_t decode) {
    decode_row& engine = in.decodes[decode];
    if (engine.is_stepping || engine.is_dead || engine.streams.empty()) {
        return;
    }
    engine.is_stepping = true;
    after(in, with_noise(in, step_time(engine.streams.size())),
          [&in, decode, batch = engine.streams] { end_step(in, decode, batch); });
}

void begin_stream(world& in, std::size_t number, std::uint64_t attempt) {
    request_row& request = in.requests[number];
    if (request.attempt != attempt || request.state != progress::moving) {
        return;
    }
    request.state = progress::decoding;
    in.decodes[request.decode].streams.push_back(number);
    begin_step(in, request.decode);
}

bool has_room(const decode_row& engine, const request_row& request) {
    return !engine.is_dead && !engine.as_prefill && engine.taken_slots < slot_count &&
           engine.taken_pieces + pieces_of(request) <= piece_count;
}

void move_kv(world& in, std::size_t number, std::size_t decode) {
    request_row& request = in.requests[number];
    decode_row& engine = in.decodes[decode];
    request.state = progress::moving;
    request.decode = decode;
    ++engine.taken_slots;
    engine.taken_pieces += pieces_of(request);
    time_point& link = in.prefills[request.prefill].link_free_at;
    link = std::max(link, in.now) + transfer_time(request.sent.prompt_tokens);
    const std::uint64_t attempt = request.attempt;
    after(in, link - in.now, [&in, number, attempt] { begin_stream(in, number, attempt); });
}

void serve_pending(world& in, std::size_t decode) {
    decode_row& engine = in.decodes[decode];
    while (!engine.pending.empty()) {
        const std::size_t number = engine.pending.front();
        if (!has_room(engine, in.requests[number])) {
            return;
        }
        engine.pending.pop_front();
        move_kv(in, number, decode);
    }
}

void lose_request(world& in, std::size_t number, bool is_prefill) {
    request_row& request = in.requests[number];
    ++request.attempt;
    request.state = request.tokens > 0 ? progress::failed : progress::waiting;
    const std::uint64_t attempt = request.attempt;
    after(in, failure_notice, [&in, number, is_prefill, attempt] {
        if (in.requests[number].attempt == attempt) {
            tell<world&, std::size_t, bool>(in.routes->failed, in, number, is_prefill);
        }
    });
}

void drop_kv(world& in, std::size_t number, std::uint64_t attempt) {
    request_row& request = in.requests[number];
    if (request.attempt != attempt || request.state != progress::prefilled) {
        return;
    }
    in.decodes[request.decode].pending.remove(number);
    waste(in, request.prefilled_at - request.prefill_began);
    lose_request(in, number, false);
}

void cancel(world& in, std::size_t number) {
    request_row& request = in.requests[number];
    const progress was = request.state;
    if (was >= progress::finished) {
        return;
    }
    request.state = progress::cancelled;
    ++request.attempt;
    if (was == progress::queued) {
        in.prefills[request.prefill].queued.remove(number);
    } else if (was == progress::prefilling) {
        in.prefill_done += in.now - request.prefill_began;
        waste(in, in.now - request.prefill_began);
        in.prefills[request.prefill].is_busy = false;
        begin_next_prefill(in, request.prefill);
    } else if (was == progress::prefilled || was == progress::moving) {
        waste(in, request.prefilled_at - request.prefill_began);
        in.decodes[request.decode].pending.remove(number);
    }
    if (was == progress::moving || was == progress::decoding) {
        leave_decode(in, number);
    }
    tell<world&, std::size_t>(in.routes->ended, in, number);
}

void kill_prefill(world& in, std::size_t prefill) {
    prefill_row& engine = in.prefills[prefill];
    engine.is_dead = true;
    std::list<std::size_t> lost = std::exchange(engine.queued, {});
    for (const request_row& request : in.requests) {
        const bool is_here = request.prefill == prefill && request.attempt > 0;
        if (is_here &&
            (request.state == progress::prefilling || request.state == progress::prefilled ||
             request.state == progress::moving)) {
            lost.push_back(request.sent.number);
        }
    }
    for (const std::size_t number : lost) {
        const request_row& request = in.requests[number];
        if (request.state == progress::prefilling) {
            in.prefill_done += in.now - request.prefill_began;
            waste(in, in.now - request.prefill_began);
        } else if (request.state != progress::queued) {
            waste(in, request.prefilled_at - request.prefill_began);
            in.decodes[request.decode].pending.remove(number);
        }
        if (request.state == progress::moving) {
            leave_decode(in, number);
        }
        lose_request(in, number, true);
    }
}

void kill_decode(world& in, std::size_t decode) {
    decode_row& engine = in.decodes[decode];
    engine.is_dead = true;
    engine.streams.clear();
    engine.pending.clear();
    for (const request_row& request : in.requests) {
        const bool is_here = request.decode == decode && request.attempt > 0;
        const bool is_unused =
            request.state == progress::moving || request.state == progress::prefilled;
        if (!is_here || (!is_unused && request.state != progress::decoding)) {
            continue;
        }
        if (is_unused || request.tokens == 0) {
            waste(in, request.prefilled_at - request.prefill_began);
        }
        lose_request(in, request.sent.number, false);
    }
}

world_report take_report(world& in) {
    world_report report;
    report.taken_at = in.now;
    report.sequence = in.next_report++;
    for (const prefill_row& engine : in.prefills) {
        duration backlog{0};
        for (const std::size_t number : engine.queued) {
            backlog += prefill_time(in.requests[number].sent.prompt_tokens);
        }
        if (engine.is_busy) {
            const request_row& running = in.requests[engine.running];
            backlog += std::max(duration{0}, running.prefill_began +
                                                 prefill_time(running.sent.prompt_tokens) - in.now);
        }
        report.prefill_backlog.push_back(backlog);
        report.is_lost.push_back(engine.is_dead || in.random.chance(in.played.reports_lost));
    }
    for (const decode_row& engine : in.decodes) {
        report.streams.push_back(static_cast<std::uint32_t>(engine.taken_slots));
        report.pieces.push_back(engine.taken_pieces);
        report.is_lost.push_back(engine.is_dead || in.random.chance(in.played.reports_lost));
    }
    return report;
}

void repeat_reports(world& in) {
    after(in, in.played.report_lag, [&in, report = take_report(in)] {
        tell<world&, const world_report&>(in.routes->reported, in, report);
    });
    after(in, report_period, [&in] { repeat_reports(in); });
}

void repeat_ticks(world& in) {
    in.routes->tick(in);
    after(in, tick_period, [&in] { repeat_ticks(in); });
}

void plan_arrivals(world& in, const std::vector<arrival>& trace) {
    for (const arrival& sent : trace) {
        request_row row;
        row.sent = sent;
        in.requests.push_back(row);
        after(in, sent.at - in.now, [&in, number = sent.number] {
            if (in.requests[number].state == progress::waiting) {
                in.routes->arrived(in, number);
            }
        });
        if (sent.cancelled_at != time_point{}) {
            after(in, sent.cancelled_at - in.now,
                  [&in, number = sent.number] { cancel(in, number); });
        }
    }
}

void plan_deaths(world& in) {
    if (in.played.dead_prefill_engine >= 0) {
        after(in, in.played.dies_at,
              [&in] { kill_prefill(in, static_cast<std::size_t>(in.played.dead_prefill_engine)); });
    }
    if (in.played.dead_decode_engine >= 0) {
        after(in, in.played.dies_at,
              [&in] { kill_decode(in, static_cast<std::size_t>(in.played.dead_decode_engine)); });
    }
}

} // namespace

world::world(const deployment& of, const scenario& under, std::uint64_t seed)
    : fleet(of), played(under), random(seed), prefills(domain_count),
      decodes(decode_engine_count(of)) {}

void after(world& in, duration wait, std::function<void()> run) {
    in.events.push({in.now + wait, in.next_order++, std::move(run)});
}

void start_prefill(world& in, std::size_t number, std::size_t prefill) {
    request_row& request = in.requests[number];
    if (request.state != progress::waiting) {
        return;
    }
    ++request.attempt;
    ++request.tries;
    request.prefill = prefill;
    if (in.prefills[prefill].is_dead) {
        lose_request(in, number, true);
        return;
    }
    request.state = progress::queued;
    in.prefills[prefill].queued.push_back(number);
    begin_next_prefill(in, prefill);
}

void send_to_decode(world& in, std::size_t number, std::size_t decode) {
    request_row& request = in.requests[number];
    request.decode = decode;
    decode_row& engine = in.decodes[decode];
    if (engine.is_dead) {
        waste(in, request.prefilled_at - request.prefill_began);
        lose_request(in, number, false);
    } else if (engine.pending.empty() && has_room(engine, request)) {
        move_kv(in, number, decode);
    } else {
        engine.pending.push_back(number);
        after(in, kv_kept,
              [&in, number, attempt = request.attempt] { drop_kv(in, number, attempt); });
    }
}

void refuse(world& in, std::size_t number) {
    request_row& request = in.requests[number];
    if (request.state == progress::waiting) {
        request.state = progress::refused;
    }
}

void change_to_prefill(world& in, std::size_t decode, std::function<void()> changed) {
    after(in, role_change_time, [&in, decode, changed = std::move(changed)] {
        in.decodes[decode].as_prefill = in.prefills.size();
        in.prefills.emplace_back();
        changed();
    });
}

void play(world& in, router& routes, const std::vector<arrival>& trace) {
    in.routes = &routes;
    plan_arrivals(in, trace);
    plan_deaths(in);
    repeat_reports(in);
    if (routes.tick) {
        repeat_ticks(in);
    }
    const time_point end = replay_begin + in.played.length + drain_time;
    while (!in.events.empty() && in.events.top().at <= end) {
        const world::event next = in.events.top();
        in.events.pop();
        in.now = next.at;
        next.run();
    }
}

} // namespace cicadahatch::replay
