#include "programs/cicadahatch/objectives.hpp"

namespace cicadahatch::tool {

namespace {

metrics::burn_objective objective_of(const settings::service& described, rank work_rank,
                                     const settings::rank_rule& rule) {
    const bool is_plain = described.kind == settings::service_kind::plain;
    metrics::burn_objective made;
    made.service = described.name;
    made.work_rank = work_rank;
    made.objective = rule.objective;
    made.first_token_target = is_plain ? rule.deadline : rule.first_token;
    made.between_tokens_target = rule.between_tokens;
    return made;
}

} // namespace

std::vector<metrics::burn_objective> objectives_of(const std::vector<settings::service>& services) {
    std::vector<metrics::burn_objective> objectives;
    for (const settings::service& described : services) {
        objectives.push_back(objective_of(described, rank::urgent, described.urgent));
        objectives.push_back(objective_of(described, rank::deferrable, described.deferrable));
    }
    return objectives;
}

} // namespace cicadahatch::tool
