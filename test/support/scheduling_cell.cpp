#include "test/support/scheduling_cell.hpp"

namespace cicadahatch::test_support {

using namespace std::chrono_literals;

scheduling::engine_spec decode_engine(const std::string& id) {
    scheduling::engine_spec spec;
    spec.id = backend_id{id};
    spec.role = backend_role::decode;
    spec.slots = 20;
    spec.pieces = 12'000;
    spec.step_base = 10ms;
    spec.step_per_stream = 1ms;
    spec.kv_bytes_per_token = 100'000;
    return spec;
}

scheduling::engine_spec prefill_engine(const std::string& id) {
    scheduling::engine_spec spec;
    spec.id = backend_id{id};
    spec.role = backend_role::prefill;
    spec.link = scheduling::link_id{"link-" + id};
    spec.prefill_tokens_per_second = 40'000;
    return spec;
}

scheduling::cell_state small_cell(time_point now, int prefills, int decodes) {
    std::vector<scheduling::engine_spec> engines;
    std::vector<scheduling::link_spec> links;
    for (int number = 0; number < prefills; ++number) {
        engines.push_back(prefill_engine("prefill-" + std::to_string(number)));
        links.push_back({engines.back().link, 8e9});
    }
    for (int number = 0; number < decodes; ++number) {
        engines.push_back(decode_engine("decode-" + std::to_string(number)));
    }
    scheduling::service_spec service;
    service.id = service_id{"notes"};
    service.urgent = {1500ms, 45ms, 1, 0};
    service.deferrable = {8s, 80ms, 1, 0.25};
    return scheduling::cell_builder{}
        .id(cell_id{"cell"})
        .model(model_id{"pattern"})
        .engines(engines)
        .links(links)
        .services({service})
        .build(now);
}

scheduling::request_spec request(const std::string& id, rank work_rank, time_point now) {
    scheduling::request_spec spec;
    spec.id = request_id{id};
    spec.owner = daemon_id{"daemon"};
    spec.service = service_id{"notes"};
    spec.model = model_id{"pattern"};
    spec.team = team_id{"team"};
    spec.rank = work_rank;
    spec.prompt_tokens = 6'000;
    spec.expected_output_tokens = 200;
    spec.arrived = now;
    return spec;
}

void granted_streams::end_due(scheduling::cell_state& state, const scheduling::cell_policy& policy,
                              std::uint32_t output_tokens, time_point now) {
    while (!prefill_ends.empty() && prefill_ends.begin()->first <= now) {
        const request_id request = prefill_ends.begin()->second;
        prefill_ends.erase(prefill_ends.begin());
        scheduling::prefill_finished(state, request, 0, now);
        scheduling::first_token(state, request, now);
        stream_ends.emplace(now + 1s, request);
    }
    while (!stream_ends.empty() && stream_ends.begin()->first <= now) {
        scheduling::release(state, policy, stream_ends.begin()->second,
                            scheduling::outcome::completed, output_tokens, now);
        stream_ends.erase(stream_ends.begin());
    }
}

} // namespace cicadahatch::test_support
