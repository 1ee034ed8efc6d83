#include "src/settings/internal/service_fields.hpp"

#include "src/settings/constants.hpp"

namespace cicadahatch::settings::internal {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds longest_target = 600s;
constexpr std::chrono::seconds shortest_kept = 60s;
constexpr std::chrono::seconds longest_kept = 31 * 24h;
constexpr double most_share = 1000.0;
constexpr double least_objective = 0.5;
constexpr double most_objective = 0.9999;
constexpr std::uint32_t most_tokens = 4'000'000;
constexpr std::size_t max_paths = 64;
constexpr std::size_t max_callers = 256;
constexpr std::size_t max_token_bytes = 256;
constexpr std::string_view model_characters = "._:/-";

field_table<rank_rule> rank_fields() {
    return {
        make_field(
            "first_token_ms", &rank_rule::first_token, time(0ms, longest_target, "ms"),
            "target of the time to the first token; model services only, where 1 is the least"),
        make_field("between_tokens_ms", &rank_rule::between_tokens, time(0ms, longest_target, "ms"),
                   "target of the time between tokens; model services only, where 1 is the least"),
        make_field("deadline_ms", &rank_rule::deadline, time(0ms, longest_target, "ms"),
                   "longest time to the answer; plain services only, where 1 is the least"),
        make_field("share", &rank_rule::share, number(0.001, most_share),
                   "weight among the services of the same rank"),
        make_field(
            "floor", &rank_rule::floor, number(0.0, 1.0),
            "part of the capacity kept for this rank while the other floods in; the two floors "
            "add up to at most 1"),
        make_field(
            "objective", &rank_rule::objective, number(least_objective, most_objective),
            "part of the requests that must meet the targets; the burn report counts against it"),
    };
}

field_table<at_most_once_rule> at_most_once_fields() {
    return {
        make_field("methods", &at_most_once_rule::methods,
                   list(one_of({"POST", "PUT", "PATCH", "DELETE"}), 0, 4),
                   "HTTP methods whose requests run at most once; empty: none"),
        make_field("paths", &at_most_once_rule::paths, list(url_path(), 0, max_paths),
                   "path prefixes below the service that the rule covers; empty: all"),
        make_field("is_key_required", &at_most_once_rule::is_key_required, boolean(),
                   "refuse a covered request that carries no `Idempotency-Key`"),
        make_field("kept_s", &at_most_once_rule::kept, time(shortest_kept, longest_kept, "s"),
                   "how long a claim and its outcome are kept"),
    };
}

field_table<backend_server> backend_fields() {
    return {
        make_field("id", &backend_server::id, name<backend_id>(), "name of the backend server",
                   presence::required),
        make_field("address", &backend_server::address, place(true), "where it listens",
                   presence::required),
        make_field(
            "role", &backend_server::role,
            choice<backend_role>({{backend_role::prefill, "prefill"},
                                  {backend_role::decode, "decode"},
                                  {backend_role::plain, "plain"}}),
            "what it does; model services have prefill and decode engines, plain services plain "
            "servers"),
        make_field("domain", &backend_server::domain, name<domain_id>(), "its failure domain",
                   presence::required),
    };
}

field_table<service> identity_fields() {
    return {
        make_field("name", &service::name, name<service_id>(),
                   "name of the service; callers give it as `model` or in the path",
                   presence::required),
        make_field("team", &service::team, name<team_id>(), "team that owns it",
                   presence::required),
        make_field(
            "kind", &service::kind,
            choice<service_kind>({{service_kind::model, "model"}, {service_kind::plain, "plain"}}),
            "whether model engines or plain servers stand behind it", presence::required),
        make_field("model", &service::model, name<model_id>(or_empty(word(model_characters))),
                   "model that the engines hold; required for model services"),
        make_field("adapter", &service::adapter, or_empty(word(model_characters)),
                   "adapter on top of the model"),
        make_field("version", &service::version, or_empty(word(model_characters)),
                   "version of the model or adapter that the engines should hold"),
    };
}

field_table<service> rule_fields() {
    return {
        make_field("urgent", &service::urgent, object(rank_fields()), "", presence::required),
        make_field("deferrable", &service::deferrable, object(rank_fields()), "",
                   presence::required),
        make_field("default_rank", &service::default_rank,
                   choice<rank>({{rank::urgent, "urgent"}, {rank::deferrable, "deferrable"}}),
                   "rank of a request that asks for none"),
        make_field(
            "rank_header", &service::rank_header, or_empty(word()),
            "header from which an allowed caller's rank is taken; goes with `urgent_callers`"),
        make_field("urgent_callers", &service::urgent_callers,
                   list(text(min_secret_bytes, max_token_bytes), 0, max_callers),
                   "bearer tokens of the callers that may ask for the urgent rank"),
        make_field("at_most_once", &service::at_most_once, object(at_most_once_fields()), ""),
        make_field("checks_fencing", &service::checks_fencing, boolean(),
                   "whether the backend servers refuse an order with an old fencing number"),
        make_field("allows_role_change", &service::allows_role_change, boolean(),
                   "whether a cell under load may order an engine from prefill to decode or back; "
                   "all services of the model must allow it"),
        make_field("max_prompt_tokens", &service::max_prompt_tokens,
                   integer<std::uint32_t>(1, most_tokens, "tokens"), "longest accepted prompt"),
        make_field("max_output_tokens", &service::max_output_tokens,
                   integer<std::uint32_t>(1, most_tokens, "tokens"), "longest answer"),
        make_field("backends", &service::backends, list(object(backend_fields()), 1, max_backends),
                   "backend servers", presence::required),
    };
}

field_table<service> make_fields() {
    field_table<service> fields = identity_fields();
    for (field<service>& entry : rule_fields()) {
        fields.push_back(std::move(entry));
    }
    return fields;
}

} // namespace

const field_table<service>& service_fields() {
    static const field_table<service> fields = make_fields();
    return fields;
}

} // namespace cicadahatch::settings::internal
