#include "bench/replay/routers.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>

namespace cicadahatch::replay {

using namespace std::chrono_literals;

namespace {

constexpr duration to_engine = 1ms;
constexpr std::uint32_t most_tries = 2;
constexpr duration avoided_for = 5s;

using daemon_numbers = std::array<std::size_t, daemon_count>;

/// Starts one more try unless the request had its share of them.
bool may_try(world& in, std::size_t number) {
    const request_row& request = in.requests[number];
    if (request.state != progress::waiting || request.tries >= most_tries) {
        refuse(in, number);
        return false;
    }
    return true;
}

/// Round robin, kept by each daemon.
struct naive_state {
    daemon_numbers next_prefill{};
    daemon_numbers next_decode{};
};

void start_naive(const std::shared_ptr<naive_state>& state, world& in, std::size_t number) {
    std::size_t& next = state->next_prefill[in.requests[number].sent.daemon];
    const std::size_t prefill = next++ % in.prefills.size();
    after(in, to_engine, [&in, number, prefill] { start_prefill(in, number, prefill); });
}

/// What one lone daemon knows: the last report and what it sent since.
struct lone_view {
    struct sent_prefill {
        time_point at;
        std::size_t prefill;
        duration work;
    };
    struct sent_stream {
        time_point at;
        std::size_t decode;
    };
    std::vector<duration> backlog;
    std::vector<std::uint32_t> streams;
    std::vector<time_point> prefill_avoided_until;
    std::vector<time_point> decode_avoided_until;
    time_point taken_at;
    std::deque<sent_prefill> prefills;
    std::deque<sent_stream> decodes;
};

struct lone_state {
    std::array<lone_view, daemon_count> views;
    random_source random{2};
    bool is_two_choice = false;
};

void prepare(lone_view& view, const world& in) {
    if (view.backlog.empty()) {
        view.backlog.resize(in.prefills.size());
        view.prefill_avoided_until.resize(in.prefills.size());
        view.streams.resize(in.decodes.size());
        view.decode_avoided_until.resize(in.decodes.size());
    }
}

/// Work before a new prefill: reported, less what was done since, plus own later ones.
duration backlog_of(const lone_view& view, std::size_t prefill, time_point now) {
    duration work = std::max(duration{0}, view.backlog[prefill] - (now - view.taken_at));
    for (const lone_view::sent_prefill& sent : view.prefills) {
        if (sent.prefill == prefill) {
            work += sent.work;
        }
    }
    return now < view.prefill_avoided_until[prefill] ? avoided_for : work;
}

std::size_t streams_of(const lone_view& view, std::size_t decode, time_point now) {
    const auto own =
        std::count_if(view.decodes.begin(), view.decodes.end(),
                      [&](const lone_view::sent_stream& sent) { return sent.decode == decode; });
    const std::size_t known = view.streams[decode] + static_cast<std::size_t>(own);
    return now < view.decode_avoided_until[decode] ? known + slot_count : known;
}

/// The engine of least load: of all, or of two random ones.
template <class Load>
std::size_t least(lone_state& state, std::size_t count, const Load& load) {
    if (state.is_two_choice) {
        const std::size_t one = state.random.below(count);
        const std::size_t other = (one + 1 + state.random.below(count - 1)) % count;
        return load(one) <= load(other) ? one : other;
    }
    std::size_t best = state.random.below(count);
    for (std::size_t place = 0; place < count; ++place) {
        best = load(place) < load(best) ? place : best;
    }
    return best;
}

void start_lone(const std::shared_ptr<lone_state>& state, world& in, std::size_t number) {
    const request_row& request = in.requests[number];
    lone_view& view = state->views[request.sent.daemon];
    prepare(view, in);
    const std::size_t prefill = least(*state, in.prefills.size(), [&](std::size_t place) {
        return backlog_of(view, place, in.now);
    });
    const duration work = prefill_time(request.sent.prompt_tokens);
    const duration needed = in.now - request.sent.at + backlog_of(view, prefill, in.now) + work +
                            transfer_time(request.sent.prompt_tokens) + step_time(slot_count);
    std::size_t fewest = slot_count;
    for (std::size_t decode = 0; decode < in.decodes.size(); ++decode) {
        fewest = std::min(fewest, streams_of(view, decode, in.now));
    }
    if (needed > targets(in.fleet, request.sent.rank).first_token || fewest >= slot_count) {
        refuse(in, number);
        return;
    }
    view.prefills.push_back({in.now, prefill, work});
    after(in, to_engine, [&in, number, prefill] { start_prefill(in, number, prefill); });
}

void send_lone(lone_state& state, world& in, std::size_t number) {
    lone_view& view = state.views[in.requests[number].sent.daemon];
    const std::size_t decode = least(state, in.decodes.size(), [&](std::size_t place) {
        return streams_of(view, place, in.now);
    });
    view.decodes.push_back({in.now, decode});
    send_to_decode(in, number, decode);
}

void avoid(lone_state& state, const world& in, std::size_t number, bool is_prefill) {
    const request_row& request = in.requests[number];
    lone_view& view = state.views[request.sent.daemon];
    if (is_prefill) {
        view.prefill_avoided_until[request.prefill] = in.now + avoided_for;
    } else {
        view.decode_avoided_until[request.decode] = in.now + avoided_for;
    }
}

void take_lone_report(lone_state& state, const world& in, const world_report& report) {
    for (lone_view& view : state.views) {
        prepare(view, in);
        view.taken_at = report.taken_at;
        for (std::size_t place = 0; place < in.prefills.size(); ++place) {
            if (!report.is_lost[place]) {
                view.backlog[place] = report.prefill_backlog[place];
            }
        }
        for (std::size_t place = 0; place < in.decodes.size(); ++place) {
            if (!report.is_lost[in.prefills.size() + place]) {
                view.streams[place] = report.streams[place];
            }
        }
        while (!view.prefills.empty() && view.prefills.front().at <= report.taken_at) {
            view.prefills.pop_front();
        }
        while (!view.decodes.empty() && view.decodes.front().at <= report.taken_at) {
            view.decodes.pop_front();
        }
    }
}

router make_lone(const std::string& name, bool is_two_choice) {
    auto state = std::make_shared<lone_state>();
    state->is_two_choice = is_two_choice;
    router built;
    built.name = name;
    built.arrived = [state](world& in, std::size_t number) { start_lone(state, in, number); };
    built.prefilled = [state](world& in, std::size_t number) { send_lone(*state, in, number); };
    built.reported = [state](world& in, const world_report& report) {
        take_lone_report(*state, in, report);
    };
    built.failed = [state](world& in, std::size_t number, bool is_prefill) {
        avoid(*state, in, number, is_prefill);
        if (may_try(in, number)) {
            start_lone(state, in, number);
        }
    };
    return built;
}

/// One daemon's fixed part of the engines and its queue, urgent first.
struct quota_part {
    std::vector<std::size_t> slots; ///< by decode engine, free
    double prefill_credit = 0;      ///< seconds of a prefill engine
    std::array<std::deque<std::size_t>, 2> queues;
    std::size_t next_prefill = 0;
};

struct quota_state {
    std::array<quota_part, daemon_count> parts;
    std::vector<bool> has_slot; ///< by request
    time_point last_tick = replay_begin;
    bool is_prepared = false;
};

void prepare(quota_state& state, const world& in) {
    if (state.is_prepared) {
        return;
    }
    state.is_prepared = true;
    state.has_slot.resize(in.requests.size());
    for (std::size_t daemon = 0; daemon < daemon_count; ++daemon) {
        quota_part& part = state.parts[daemon];
        for (std::size_t decode = 0; decode < in.decodes.size(); ++decode) {
            const std::size_t rest = slot_count % daemon_count;
            const bool has_more = (daemon + decode) % daemon_count < rest;
            part.slots.push_back(slot_count / daemon_count + (has_more ? 1 : 0));
        }
    }
}

std::size_t next_in(quota_part& part) {
    return part.queues[0].empty() ? 1 : 0;
}

/// \returns whether the daemon's first request could start
bool start_quota(quota_state& state, quota_part& part, world& in) {
    std::deque<std::size_t>& queue = part.queues[next_in(part)];
    const auto open = std::max_element(part.slots.begin(), part.slots.end());
    if (queue.empty() || *open == 0 || part.prefill_credit < 0) {
        return false;
    }
    const std::size_t number = queue.front();
    queue.pop_front();
    request_row& request = in.requests[number];
    const duration work = prefill_time(request.sent.prompt_tokens);
    const duration needed = in.now - request.sent.at + work +
                            transfer_time(request.sent.prompt_tokens) + step_time(slot_count);
    if (request.state != progress::waiting ||
        needed > targets(in.fleet, request.sent.rank).first_token) {
        refuse(in, number);
        return true;
    }
    --*open;
    state.has_slot[number] = true;
    request.decode = static_cast<std::size_t>(open - part.slots.begin());
    part.prefill_credit -= std::chrono::duration<double>(work).count();
    const std::size_t prefill = part.next_prefill++ % in.prefills.size();
    after(in, to_engine, [&in, number, prefill] { start_prefill(in, number, prefill); });
    return true;
}

void tick_quota(quota_state& state, world& in) {
    prepare(state, in);
    const double elapsed = std::chrono::duration<double>(in.now - state.last_tick).count();
    state.last_tick = in.now;
    const double earned = elapsed * static_cast<double>(in.prefills.size()) / daemon_count;
    for (quota_part& part : state.parts) {
        part.prefill_credit = std::min(part.prefill_credit + earned, 0.0);
        while (start_quota(state, part, in)) {
        }
    }
}

void return_slot(quota_state& state, const world& in, std::size_t number) {
    if (state.has_slot[number]) {
        state.has_slot[number] = false;
        const request_row& request = in.requests[number];
        ++state.parts[request.sent.daemon].slots[request.decode];
    }
}

void queue_quota(quota_state& state, world& in, std::size_t number) {
    prepare(state, in);
    const arrival& sent = in.requests[number].sent;
    state.parts[sent.daemon].queues[static_cast<std::size_t>(sent.rank)].push_back(number);
}

} // namespace

router naive_router() {
    auto state = std::make_shared<naive_state>();
    router built;
    built.name = "naive";
    built.is_priority_honoured = false;
    built.arrived = [state](world& in, std::size_t number) { start_naive(state, in, number); };
    built.prefilled = [state](world& in, std::size_t number) {
        std::size_t& next = state->next_decode[in.requests[number].sent.daemon];
        send_to_decode(in, number, next++ % in.decodes.size());
    };
    built.failed = [state](world& in, std::size_t number, bool) {
        if (may_try(in, number)) {
            start_naive(state, in, number);
        }
    };
    return built;
}

router lone_router() {
    return make_lone("lone", false);
}

router two_choice_router() {
    return make_lone("two choices", true);
}

router quota_router() {
    auto state = std::make_shared<quota_state>();
    router built;
    built.name = "quotas";
    built.arrived = [state](world& in, std::size_t number) { queue_quota(*state, in, number); };
    built.prefilled = [](world& in, std::size_t number) {
        send_to_decode(in, number, in.requests[number].decode);
    };
    built.ended = [state](world& in, std::size_t number) {
        prepare(*state, in);
        return_slot(*state, in, number);
    };
    built.failed = [state](world& in, std::size_t number, bool is_prefill) {
        // A dead decode engine's slots stay taken; those of a dead prefill engine come back.
        if (is_prefill) {
            return_slot(*state, in, number);
        }
        state->has_slot[number] = false;
        if (may_try(in, number)) {
            queue_quota(*state, in, number);
        }
    };
    built.tick = [state](world& in) { tick_quota(*state, in); };
    return built;
}

} // namespace cicadahatch::replay
