#include "bench/replay/cell_engines.hpp"
#include "bench/replay/cell_roles.hpp"
#include "bench/replay/routers.hpp"
#include "cicadahatch/scheduling"

#include <memory>
#include <string>
#include <utility>

namespace cicadahatch::replay {

using namespace std::chrono_literals;

namespace {

constexpr duration to_home = 1ms;
constexpr duration to_engine = 2ms; ///< home to daemon to engine
constexpr int ticks_between_digests = 20;
constexpr std::uint32_t most_tries = 4;

/// The homes of all cells with what the daemons know of them.
struct cells {
    scheduling::cell_policy policy;
    cell_observer observer;
    std::vector<scheduling::cell_state> states;
    std::vector<cell_roles> roles;
    std::vector<scheduling::cell_digest> digests;
    std::vector<std::size_t> cell_of;      ///< by request
    std::vector<bool> has_spilled;         ///< by request
    std::vector<std::size_t> first_decode; ///< by cell
    random_source random{1};
    int ticks = 0;
};

request_id id_of(std::size_t number) {
    return request_id{"r" + std::to_string(number)};
}
std::size_t number_of(const request_id& id) {
    return std::stoul(id.str().substr(1));
}
domain_id domain_of(std::size_t number) {
    return domain_id{std::to_string(number)};
}

scheduling::request_spec spec_of(const request_row& request) {
    scheduling::request_spec spec;
    spec.id = id_of(request.sent.number);
    spec.owner = daemon_id{std::to_string(request.sent.daemon)};
    spec.service = service_id{"notes"};
    spec.model = model_id{"model"};
    spec.team = team_id{std::to_string(request.sent.team)};
    spec.rank = request.sent.rank;
    spec.prompt_tokens = request.sent.prompt_tokens;
    spec.expected_output_tokens = request.sent.expected_output_tokens;
    spec.arrived = request.sent.at;
    return spec;
}

std::size_t choose(cells& all, const world& in, std::size_t number) {
    const request_row& request = in.requests[number];
    scheduling::choice_request wanted;
    wanted.model = model_id{"model"};
    wanted.rank = request.sent.rank;
    wanted.first_token = targets(in.fleet, request.sent.rank).first_token;
    wanted.elapsed = in.now - request.sent.at;
    wanted.cross_domain_delay = 2 * to_home;
    const auto target =
        scheduling::choose_cell(all.digests, domain_of(request.sent.domain), wanted, all.random);
    return target ? std::stoul(target->cell.str().substr(4)) : request.sent.domain;
}

void submit_to(cells& all, world& in, std::size_t number, std::size_t cell) {
    all.cell_of[number] = cell;
    after(in, to_home, [&all, &in, number, cell] {
        if (in.requests[number].state != progress::waiting) {
            return;
        }
        const auto accepted =
            scheduling::submit(all.states[cell], all.policy, spec_of(in.requests[number]), in.now);
        if (!accepted) {
            refuse(in, number);
        }
    });
}

/// A refused request may have one try in another failure domain, if the target holds there.
void take_refusal(cells& all, world& in, const scheduling::refusal& refused) {
    const std::size_t number = number_of(refused.request);
    const std::size_t other = choose(all, in, number);
    if (all.has_spilled[number] || other == all.cell_of[number]) {
        refuse(in, number);
        return;
    }
    all.has_spilled[number] = true;
    submit_to(all, in, number, other);
}

void take_grant(world& in, const scheduling::grant& granted) {
    const std::size_t number = number_of(granted.request);
    in.requests[number].decode = engine_number(granted.decode);
    after(in, to_engine, [&in, number, prefill = prefill_row_of(in, granted.prefill)] {
        start_prefill(in, number, prefill);
    });
}

void tick_cells(cells& all, world& in) {
    for (scheduling::cell_state& state : all.states) {
        const scheduling::tick_output output = scheduling::tick(state, all.policy, in.now);
        for (const scheduling::grant& granted : output.grants) {
            take_grant(in, granted);
        }
        for (const scheduling::refusal& refused : output.refusals) {
            take_refusal(all, in, refused);
        }
        if (all.observer) {
            all.observer(state, all.policy, output, in.now);
        }
    }
    for (int daemon = 0; daemon < static_cast<int>(daemon_count); ++daemon) {
        const daemon_id owner{std::to_string(daemon)};
        for (scheduling::cell_state& state : all.states) {
            if (all.ticks % ticks_between_digests == 0) {
                scheduling::record_owner_heartbeat(state, owner, in.now);
            }
        }
    }
    if (all.ticks++ % ticks_between_digests != 0) {
        return;
    }
    for (std::size_t cell = 0; cell < all.states.size(); ++cell) {
        review_roles(in, all.states[cell], all.roles[cell]);
    }
    all.digests.clear();
    for (std::size_t cell = 0; cell < all.states.size(); ++cell) {
        all.digests.push_back(scheduling::make_digest(all.states[cell], domain_of(cell), in.now));
    }
}

/// \returns the prefill backlog of an engine that was a decode engine at the beginning
duration backlog_of(const decode_row& engine, const world_report& report) {
    const bool has_changed =
        engine.as_prefill && *engine.as_prefill < report.prefill_backlog.size();
    return has_changed ? report.prefill_backlog[*engine.as_prefill] : duration{0};
}

void take_report(cells& all, const world& in, const world_report& report) {
    for (std::size_t cell = 0; cell < all.states.size(); ++cell) {
        scheduling::load_report told;
        told.taken_at = report.taken_at;
        told.sequence = report.sequence;
        if (!report.is_lost[cell]) {
            told.backend = prefill_id(cell);
            told.prefill_backlog = report.prefill_backlog[cell];
            scheduling::ingest_load(all.states[cell], told, in.now);
        }
        const auto count = static_cast<std::size_t>(in.fleet.decode_engines[cell]);
        for (std::size_t number = all.first_decode[cell]; number < all.first_decode[cell] + count;
             ++number) {
            told.backend = decode_id(number);
            told.prefill_backlog = backlog_of(in.decodes[number], report);
            told.running = report.streams[number];
            told.used_pieces = report.pieces[number];
            if (!report.is_lost[report.prefill_backlog.size() + number]) {
                scheduling::ingest_load(all.states[cell], told, in.now);
            }
        }
    }
}

void take_failure(cells& all, world& in, std::size_t number, bool is_prefill) {
    scheduling::cell_state& state = all.states[all.cell_of[number]];
    const auto how =
        is_prefill ? scheduling::outcome::prefill_failed : scheduling::outcome::decode_failed;
    scheduling::release(state, all.policy, id_of(number), how, 0, in.now);
    if (in.requests[number].tries < most_tries && in.requests[number].state == progress::waiting) {
        submit_to(all, in, number, choose(all, in, number));
    } else {
        refuse(in, number);
    }
}

void take_end(cells& all, world& in, std::size_t number) {
    const request_row& request = in.requests[number];
    scheduling::cell_state& state = all.states[all.cell_of[number]];
    if (request.state == progress::finished) {
        scheduling::release(state, all.policy, id_of(number), scheduling::outcome::completed,
                            request.tokens, in.now);
    } else {
        scheduling::withdraw(state, id_of(number), in.now);
    }
}

std::shared_ptr<cells> make_cells(const deployment& of, const scheduling::cell_policy& policy,
                                  cell_observer observer,
                                  const scheduling::role_change_policy& rule) {
    auto all = std::make_shared<cells>();
    all->policy = policy;
    all->policy.kv_retention = kv_kept;
    all->observer = std::move(observer);
    std::size_t first = 0;
    for (std::size_t domain = 0; domain < domain_count; ++domain) {
        all->first_decode.push_back(first);
        all->states.push_back(make_cell(of, domain, first));
        first += static_cast<std::size_t>(of.decode_engines[domain]);
    }
    cell_roles fresh;
    fresh.rule = rule;
    all->roles.assign(domain_count, fresh);
    return all;
}

} // namespace

scheduling::cell_policy policy_of(const deployment& of) {
    return scheduling::weighted_policy(of.name == "association" ? scheduling::association_weights()
                                                                : scheduling::utility_weights());
}

scheduling::role_change_policy fixed_roles() {
    scheduling::role_change_policy rule;
    rule.min_overload_time = duration::max();
    rule.min_empty_pool_time = duration::max();
    return rule;
}

router cell_router(const deployment& of, const scheduling::cell_policy& policy,
                   cell_observer observer, const scheduling::role_change_policy& roles) {
    const auto all = make_cells(of, policy, std::move(observer), roles);
    router built;
    built.name = "cells";
    built.arrived = [all](world& in, std::size_t number) {
        all->cell_of.resize(in.requests.size());
        all->has_spilled.resize(in.requests.size());
        submit_to(*all, in, number, choose(*all, in, number));
    };
    built.prefilled = [all](world& in, std::size_t number) {
        send_to_decode(in, number, in.requests[number].decode);
        after(in, to_home, [all, &in, number] {
            scheduling::prefill_finished(all->states[all->cell_of[number]], id_of(number), 0,
                                         in.now);
        });
    };
    built.began = [all](world& in, std::size_t number) {
        after(in, to_home, [all, &in, number] {
            scheduling::first_token(all->states[all->cell_of[number]], id_of(number), in.now);
        });
    };
    built.ended = [all](world& in, std::size_t number) {
        after(in, to_home, [all, &in, number] { take_end(*all, in, number); });
    };
    built.failed = [all](world& in, std::size_t number, bool is_prefill) {
        after(in, to_home,
              [all, &in, number, is_prefill] { take_failure(*all, in, number, is_prefill); });
    };
    built.reported = [all](world& in, const world_report& report) {
        take_report(*all, in, report);
    };
    built.tick = [all](world& in) { tick_cells(*all, in); };
    return built;
}

} // namespace cicadahatch::replay
