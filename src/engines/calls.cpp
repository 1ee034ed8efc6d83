#include "src/engines/calls.hpp"

#include "src/engines/constants.hpp"
#include "src/engines/error.hpp"
#include "src/engines/internal/requests.hpp"
#include "src/engines/internal/responses.hpp"

namespace cicadahatch::engines {

namespace {

using nlohmann::json;

/// Reads an optional field. A value of the wrong type counts as missing instead of throwing.
template <class T>
T field(const json& content, const char* name, T fallback) {
    try {
        return content.value(name, fallback);
    } catch (const json::exception&) {
        return fallback;
    }
}

loaded_model to_model(const json& content) {
    if (content.is_string()) {
        return {model_id{content.get<std::string>()}, {}, {}};
    }
    loaded_model model;
    model.id = model_id{field(content, "name", std::string{})};
    model.version = field(content, "version", std::string{});
    model.adapters = field(content, "adapters", std::vector<std::string>{});
    return model;
}

std::optional<std::vector<loaded_model>> models_of(const json& content) {
    const auto reported = content.find("models");
    if (reported == content.end() || !reported->is_array()) {
        return std::nullopt;
    }
    std::vector<loaded_model> models;
    for (const json& model : *reported) {
        models.push_back(to_model(model));
    }
    return models;
}

load_report to_report(const json& content) {
    load_report report;
    report.started = incarnation{field(content, "incarnation", std::uint64_t{0})};
    report.role = field(content, "role", std::string{});
    report.is_leaving = field(content, "leaving", false);
    report.running = field(content, "running", 0U);
    report.slots = field(content, "slots", 0U);
    report.kv_pieces_total = field(content, "kv_pieces_total", 0U);
    report.kv_pieces_free = field(content, "kv_pieces_free", 0U);
    report.tokens_per_piece = field(content, "tokens_per_piece", 0U);
    report.prefill_tokens_per_second = field(content, "prefill_tokens_per_second", 0.0);
    report.cache_sequence = field(content, "cache_sequence", std::uint64_t{0});
    report.models = models_of(content);
    return report;
}

} // namespace

result<prefill_reply> prefill(const http::endpoint& endpoint, const prefill_request& request,
                              std::chrono::milliseconds timeout) {
    const auto content =
        internal::parse_object(http::call(endpoint, internal::to_http(request), timeout));
    if (!content) {
        return tl::unexpected(content.error());
    }
    prefill_reply reply;
    reply.kv_handle = field(*content, "kv", std::string{});
    reply.prompt_tokens = field(*content, "prompt_tokens", 0U);
    reply.cached_tokens = field(*content, "cached_tokens", 0U);
    if (reply.kv_handle.empty()) {
        return failure(errc::malformed_response);
    }
    return reply;
}

result<void> cancel(http::client_pool& pool, const http::endpoint& endpoint,
                    const attempt_id& attempt) {
    const auto response =
        pool.call(endpoint, internal::to_cancel_request(attempt), control_timeout);
    const auto content = internal::parse_object(response);
    if (!content) {
        return tl::unexpected(content.error());
    }
    return {};
}

result<load_report> fetch_load(http::client_pool& pool, const http::endpoint& endpoint) {
    const http::request request{"GET", "/v1/load", "", {}, ""};
    const auto content = internal::parse_object(pool.call(endpoint, request, control_timeout));
    if (!content) {
        return tl::unexpected(content.error());
    }
    return to_report(*content);
}

result<cached_prefix_set> fetch_cached_prefixes(http::client_pool& pool,
                                                const http::endpoint& endpoint) {
    const http::request request{"GET", "/v1/cache_events", "", {}, ""};
    const auto response = pool.call(endpoint, request, control_timeout, max_cache_response_bytes);
    const auto content = internal::parse_object(response);
    if (!content) {
        return tl::unexpected(content.error());
    }
    cached_prefix_set cached;
    cached.sequence = field(*content, "sequence", std::uint64_t{0});
    cached.prefix_hashes = field(*content, "prefix_hashes", std::vector<std::uint64_t>{});
    // Every cached prefix was added by a separate change.
    if (cached.prefix_hashes.size() > cached.sequence) {
        return failure(errc::malformed_response);
    }
    return cached;
}

} // namespace cicadahatch::engines
