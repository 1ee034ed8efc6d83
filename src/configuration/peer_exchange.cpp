#include "src/configuration/peer_exchange.hpp"

#include "src/configuration/error.hpp"
#include "src/configuration/internal/records.hpp"
#include "src/core/cbor.hpp"

#include <nlohmann/json.hpp>

namespace cicadahatch::configuration {

namespace {

using internal::number_at;
using nlohmann::json;

/// Adds the changes to what is held. A record of the message replaces an older one.
result<snapshot_ptr> apply_message(const snapshot_ptr& held, const json& message) {
    service_map services;
    tombstone_map tombstones;
    const auto decoded = internal::decode_records(message, services, tombstones);
    if (!decoded) {
        return tl::unexpected(decoded.error());
    }
    if (held) {
        for (const auto& [name, accepted] : held->services()) {
            if (tombstones.count(name) == 0) {
                services.emplace(name, accepted);
            }
        }
        for (const auto& [name, erased] : held->tombstones()) {
            if (services.count(name) == 0) {
                tombstones.emplace(name, erased);
            }
        }
    }
    const revision since{number_at(message, "tombstones_since")};
    std::erase_if(tombstones, [&](const auto& entry) { return entry.second <= since; });
    auto whole = std::make_shared<const snapshot>(
        revision{number_at(message, "at")}, std::move(services), std::move(tombstones), since);
    if (whole->fingerprint() != number_at(message, "fingerprint")) {
        return failure(errc::inconsistent);
    }
    return whole;
}

} // namespace

std::optional<std::string> encode_since(const snapshot& held, revision since) {
    if (since >= held.at()) {
        return std::nullopt;
    }
    const bool is_whole = since.empty() || since < held.tombstones_since();
    const revision base = is_whole ? revision{} : since;
    json services = json::array();
    for (const auto& [name, accepted] : held.services()) {
        if (accepted->changed > base) {
            services.push_back(internal::encode_service(*accepted));
        }
    }
    json tombstones = json::array();
    for (const auto& [name, erased] : held.tombstones()) {
        if (erased > base) {
            tombstones.push_back(internal::encode_tombstone(name, erased));
        }
    }
    const json message{{"at", held.at().value()},
                       {"base", base.value()},
                       {"tombstones_since", held.tombstones_since().value()},
                       {"fingerprint", held.fingerprint()},
                       {"services", std::move(services)},
                       {"tombstones", std::move(tombstones)}};
    std::string bytes;
    json::to_cbor(message, bytes);
    return bytes;
}

result<bool> merge_from_peer(holder& own, std::string_view bytes) {
    const auto decoded = decode_cbor(bytes);
    if (!decoded || !decoded->is_object() || number_at(*decoded, "at") == 0) {
        return failure(errc::malformed);
    }
    const json& message = *decoded;
    const snapshot_ptr held = own.current();
    const revision offered{number_at(message, "at")};
    if (held && offered <= held->at()) {
        return false;
    }
    const revision base{number_at(message, "base")};
    const bool is_whole = base.empty();
    if (!is_whole && (!held || held->at() < base)) {
        return failure(errc::gap);
    }
    auto merged = apply_message(is_whole ? nullptr : held, message);
    if (!merged) {
        return tl::unexpected(merged.error());
    }
    return own.offer(*merged);
}

} // namespace cicadahatch::configuration
