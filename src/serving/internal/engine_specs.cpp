#include "src/serving/internal/engine_specs.hpp"

namespace cicadahatch::serving::internal {

namespace {

constexpr std::uint32_t default_slots = 20;
constexpr std::uint32_t default_piece_tokens = 16;
constexpr double default_prefill_rate = 8000;
constexpr duration assumed_step = std::chrono::milliseconds{15};
constexpr duration assumed_step_per_stream = std::chrono::microseconds{500};

std::uint32_t or_default(std::uint32_t reported, std::uint32_t otherwise) {
    return reported == 0 ? otherwise : reported;
}

scheduling::rank_spec to_rank(const settings::rank_rule& rule) {
    return {rule.first_token, rule.between_tokens, rule.share, rule.floor};
}

} // namespace

scheduling::engine_spec to_spec(const backend_row& server) {
    const engines::load_report& load = server.load;
    scheduling::engine_spec spec;
    spec.id = server.id;
    spec.role = present_role(server);
    spec.started = server.started;
    spec.slots = or_default(load.slots, default_slots);
    spec.pieces = load.kv_pieces_total;
    spec.piece_tokens = or_default(load.tokens_per_piece, default_piece_tokens);
    spec.step_base = assumed_step;
    spec.step_per_stream = assumed_step_per_stream;
    if (spec.role == backend_role::prefill) {
        const double reported = load.prefill_tokens_per_second;
        spec.prefill_tokens_per_second = reported > 0 ? reported : default_prefill_rate;
    }
    return spec;
}

scheduling::load_report to_report(const backend_row& server) {
    const engines::load_report& load = server.load;
    scheduling::load_report report;
    report.backend = server.id;
    report.started = server.started;
    report.sequence = static_cast<std::uint64_t>(server.reported.time_since_epoch().count());
    report.taken_at = server.reported;
    report.running = load.running;
    report.used_pieces = load.kv_pieces_total - load.kv_pieces_free;
    report.is_leaving = has_left(server);
    return report;
}

std::vector<scheduling::service_spec> services_of(const service_map& services,
                                                  const model_id& model) {
    std::vector<scheduling::service_spec> specs;
    for (const auto& [name, described] : services) {
        if (described.model == model && described.kind == settings::service_kind::model) {
            specs.push_back({name, to_rank(described.urgent), to_rank(described.deferrable)});
        }
    }
    return specs;
}

} // namespace cicadahatch::serving::internal
