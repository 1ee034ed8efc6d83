#include "src/settings/internal/service_fields.hpp"

#include <algorithm>
#include <set>

namespace cicadahatch::settings::internal {

namespace {

using namespace std::chrono_literals;

/// \brief Reports a target that the kind of service needs but lacks, or has but can't use.
void check_target(std::chrono::milliseconds target, bool is_needed, const std::string& path,
                  fault_list& faults) {
    if (is_needed && target == 0ms) {
        const errc code = faults.holds(path) ? errc::out_of_range : errc::missing_field;
        faults.add(path, code, "1 to 600000 for this kind of service");
    }
    if (!is_needed && target != 0ms) {
        faults.add(path, errc::contradictory, "0 or absent for this kind of service");
    }
}

void check_rank(const rank_rule& rule, service_kind kind, const std::string& path,
                fault_list& faults) {
    const bool is_model = kind == service_kind::model;
    check_target(rule.first_token, is_model, path + ".first_token_ms", faults);
    check_target(rule.between_tokens, is_model, path + ".between_tokens_ms", faults);
    check_target(rule.deadline, !is_model, path + ".deadline_ms", faults);
}

void check_rank_pair(const rank_rule& urgent, const rank_rule& deferrable, fault_list& faults) {
    if (urgent.floor + deferrable.floor > 1.0) {
        faults.add("deferrable.floor", errc::contradictory,
                   "floors of urgent and deferrable that add up to at most 1");
    }
    const auto check_order = [&faults](auto sooner, auto later, const std::string& name) {
        if (sooner > later && later > 0ms) {
            faults.add("urgent." + name, errc::contradictory, "at most deferrable." + name);
        }
    };
    check_order(urgent.first_token, deferrable.first_token, "first_token_ms");
    check_order(urgent.between_tokens, deferrable.between_tokens, "between_tokens_ms");
    check_order(urgent.deadline, deferrable.deadline, "deadline_ms");
}

void check_model(const service& described, fault_list& faults) {
    if (described.kind == service_kind::model) {
        if (described.model.empty()) {
            faults.add("model", errc::missing_field, "the model of a model service");
        }
        return;
    }
    const auto refuse = [&faults](const std::string& value, const std::string& path) {
        if (!value.empty()) {
            faults.add(path, errc::contradictory, "empty or absent for a plain service");
        }
    };
    refuse(described.model.str(), "model");
    refuse(described.adapter, "adapter");
    refuse(described.version, "version");
}

void check_callers(const service& described, fault_list& faults) {
    if (described.rank_header.empty() && !described.urgent_callers.empty()) {
        faults.add("urgent_callers", errc::contradictory, "empty without rank_header");
    }
    if (!described.rank_header.empty() && described.urgent_callers.empty()) {
        faults.add("rank_header", errc::contradictory, "empty without urgent_callers");
    }
}

void check_at_most_once(const at_most_once_rule& rule, fault_list& faults) {
    if (rule.methods.empty() && !rule.paths.empty()) {
        faults.add("at_most_once.paths", errc::contradictory, "empty without methods");
    }
    const std::set<std::string> distinct(rule.methods.begin(), rule.methods.end());
    if (distinct.size() != rule.methods.size()) {
        faults.add("at_most_once.methods", errc::duplicate, "each method once");
    }
}

std::string backend_path(std::size_t index, const std::string& name) {
    return "backends[" + std::to_string(index) + "]." + name;
}

void check_roles(const service& described, fault_list& faults) {
    const bool is_plain = described.kind == service_kind::plain;
    bool has_prefill = false;
    bool has_decode = false;
    for (std::size_t index = 0; index < described.backends.size(); ++index) {
        const backend_role role = described.backends[index].role;
        has_prefill = has_prefill || role == backend_role::prefill;
        has_decode = has_decode || role == backend_role::decode;
        if ((role == backend_role::plain) != is_plain) {
            faults.add(backend_path(index, "role"), errc::contradictory,
                       is_plain ? "plain for a plain service"
                                : "prefill or decode for a model service");
        }
    }
    if (!is_plain && !described.backends.empty() && !(has_prefill && has_decode)) {
        faults.add("backends", errc::contradictory,
                   "at least one prefill and one decode engine for a model service");
    }
}

void check_distinct_backends(const service& described, fault_list& faults) {
    std::set<std::string> ids;
    std::set<std::string> addresses;
    for (std::size_t index = 0; index < described.backends.size(); ++index) {
        const backend_server& server = described.backends[index];
        if (!ids.insert(server.id.str()).second) {
            faults.add(backend_path(index, "id"), errc::duplicate, "each id once");
        }
        if (!addresses.insert(server.address).second) {
            faults.add(backend_path(index, "address"), errc::duplicate, "each address once");
        }
    }
}

} // namespace

void check_service(const service& described, fault_list& faults) {
    check_model(described, faults);
    check_rank(described.urgent, described.kind, "urgent", faults);
    check_rank(described.deferrable, described.kind, "deferrable", faults);
    check_rank_pair(described.urgent, described.deferrable, faults);
    check_callers(described, faults);
    check_at_most_once(described.at_most_once, faults);
    check_roles(described, faults);
    check_distinct_backends(described, faults);
}

} // namespace cicadahatch::settings::internal
