#include "src/store/internal/gateway_codec.hpp"

#include "src/store/error.hpp"
#include "src/store/internal/base64.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace cicadahatch::store::internal {

namespace {

using nlohmann::json;

constexpr int code_invalid_argument = 3;
constexpr int code_not_found = 5;
constexpr int code_resource_exhausted = 8;

std::string text_of(std::uint64_t number) {
    return std::to_string(number);
}

/// The gateway writes 64-bit numbers as strings and leaves out zeros.
std::uint64_t number_of(const json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    if (found->is_number_unsigned()) {
        return found->get<std::uint64_t>();
    }
    if (!found->is_string()) {
        return 0;
    }
    const auto& text = found->get_ref<const std::string&>();
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string bytes_of(const json& object, const char* name) {
    const std::string text = object.value(name, std::string{});
    return decode_base64(text).value_or(std::string{});
}

entry entry_of(const json& object) {
    entry read;
    read.key = bytes_of(object, "key");
    read.value = bytes_of(object, "value");
    read.created = revision{number_of(object, "create_revision")};
    read.modified = revision{number_of(object, "mod_revision")};
    read.lease = lease_id{number_of(object, "lease")};
    return read;
}

revision header_revision(const json& reply) {
    const auto header = reply.find("header");
    return revision{header == reply.end() ? 0 : number_of(*header, "revision")};
}

result<json> parse_object(std::string_view body) {
    json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return failure(errc::protocol);
    }
    return parsed;
}

/// Replies of etcd always carry a revision; its absence shows a reply of something else.
result<json> parse_reply(std::string_view body) {
    auto parsed = parse_object(body);
    if (parsed && header_revision(*parsed).empty()) {
        return failure(errc::protocol);
    }
    return parsed;
}

json compare_modified(const std::string& key, revision expected) {
    return {{"key", encode_base64(key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", text_of(expected.value())}};
}

std::string encode_txn(const std::string& key, revision expected, json on_success) {
    json sent;
    sent["compare"] = json::array({compare_modified(key, expected)});
    sent["success"] = json::array({std::move(on_success)});
    sent["failure"] = json::array({{{"request_range", {{"key", encode_base64(key)}}}}});
    return sent.dump();
}

std::optional<entry> current_entry(const json& reply) {
    const auto responses = reply.find("responses");
    if (responses == reply.end() || responses->empty()) {
        return std::nullopt;
    }
    const json range = responses->front().value("response_range", json::object());
    const json kvs = range.value("kvs", json::array());
    if (kvs.empty()) {
        return std::nullopt;
    }
    return entry_of(kvs.front());
}

change change_of(const json& event) {
    change seen;
    seen.changed = entry_of(event.value("kv", json::object()));
    seen.is_erased = event.value("type", std::string{"PUT"}) == "DELETE";
    return seen;
}

} // namespace

std::string end_of_prefix(std::string prefix) {
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        if (last != 0xFF) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

std::string encode_get(const std::string& key) {
    return json{{"key", encode_base64(key)}}.dump();
}

std::string encode_list(const std::string& prefix) {
    const std::string first = prefix.empty() ? std::string(1, '\0') : prefix;
    return json{{"key", encode_base64(first)}, {"range_end", encode_base64(end_of_prefix(prefix))}}
        .dump();
}

std::string encode_swap(const std::string& key, revision expected, const std::string& value,
                        lease_id lease) {
    json put{{"key", encode_base64(key)}, {"value", encode_base64(value)}};
    if (!lease.empty()) {
        put["lease"] = text_of(lease.value());
    }
    return encode_txn(key, expected, {{"request_put", std::move(put)}});
}

std::string encode_erase(const std::string& key, revision expected) {
    return encode_txn(key, expected, {{"request_delete_range", {{"key", encode_base64(key)}}}});
}

std::string encode_grant(std::chrono::seconds time_to_live) {
    return json{{"TTL", std::to_string(time_to_live.count())}, {"ID", "0"}}.dump();
}

std::string encode_lease(lease_id lease) {
    return json{{"ID", text_of(lease.value())}}.dump();
}

std::string encode_watch(const std::string& prefix, revision from) {
    json create = json::parse(encode_list(prefix));
    create["start_revision"] = text_of(from.value());
    create["progress_notify"] = true;
    return json{{"create_request", std::move(create)}}.dump();
}

result<listing> decode_range(std::string_view body) {
    const auto reply = parse_reply(body);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    listing listed;
    listed.at = header_revision(*reply);
    for (const json& kv : reply->value("kvs", json::array())) {
        listed.entries.push_back(entry_of(kv));
    }
    return listed;
}

result<swap_outcome> decode_txn(std::string_view body) {
    const auto reply = parse_reply(body);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    swap_outcome outcome;
    outcome.is_swapped = reply->value("succeeded", false);
    outcome.at = header_revision(*reply);
    if (!outcome.is_swapped) {
        outcome.current = current_entry(*reply);
    }
    return outcome;
}

result<lease_id> decode_grant(std::string_view body) {
    const auto reply = parse_object(body);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    const lease_id granted{number_of(*reply, "ID")};
    if (granted.empty()) {
        return failure(errc::protocol);
    }
    return granted;
}

result<std::chrono::seconds> decode_keep_alive(std::string_view body) {
    const auto reply = parse_object(body);
    if (!reply || !reply->contains("result")) {
        return failure(errc::protocol);
    }
    const std::uint64_t left = number_of(reply->at("result"), "TTL");
    if (left == 0) {
        return failure(errc::lease_expired);
    }
    return std::chrono::seconds{left};
}

result<change_batch> decode_watch_line(std::string_view line, revision previous) {
    const auto parsed = parse_object(line);
    if (!parsed || !parsed->contains("result")) {
        return failure(errc::protocol);
    }
    const json& answer = parsed->at("result");
    if (number_of(answer, "compact_revision") > 0) {
        return failure(errc::compacted);
    }
    if (answer.value("canceled", false)) {
        return failure(errc::protocol);
    }
    change_batch batch;
    batch.next = previous;
    for (const json& event : answer.value("events", json::array())) {
        batch.changes.push_back(change_of(event));
        batch.next = revision{batch.changes.back().changed.modified.value() + 1};
    }
    return batch;
}

std::error_code decode_failure(std::string_view body) {
    const auto parsed = parse_object(body);
    if (!parsed) {
        return errc::outcome_unknown;
    }
    const int code = parsed->value("code", 0);
    const std::string text = parsed->value("error", std::string{});
    if (code == code_not_found) {
        return errc::lease_expired;
    }
    if (code == code_invalid_argument && text.find("too large") != std::string::npos) {
        return errc::value_too_large;
    }
    // Both are said before the write is proposed; other failures may follow it.
    if (code == code_resource_exhausted || text.find("no leader") != std::string::npos) {
        return errc::unavailable;
    }
    return errc::outcome_unknown;
}

} // namespace cicadahatch::store::internal
