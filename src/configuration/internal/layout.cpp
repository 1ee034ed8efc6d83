#include "src/configuration/internal/layout.hpp"

#include "src/configuration/constants.hpp"
#include "src/configuration/error.hpp"
#include "src/configuration/internal/records.hpp"
#include "src/core/hash.hpp"
#include "src/core/macros.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace cicadahatch::configuration::internal {

namespace {

using nlohmann::json;

/// Room that a record takes beside the service's text.
constexpr std::size_t record_overhead_bytes = 64;
constexpr std::size_t revision_digits = 20;

std::size_t shard_of(const service_id& name, std::size_t count) {
    return stable_hash(name.str()) % count;
}

bool has_shard_over_target(const snapshot& whole, std::size_t count) {
    std::vector<std::size_t> bytes(count);
    std::vector<std::size_t> services(count);
    for (const auto& [name, accepted] : whole.services()) {
        const std::size_t index = shard_of(name, count);
        bytes[index] += accepted->text.size() + record_overhead_bytes;
        ++services[index];
    }
    for (std::size_t index = 0; index < count; ++index) {
        if (bytes[index] > target_shard_bytes && services[index] > 1) {
            return true;
        }
    }
    return false;
}

std::string padded(std::uint64_t number) {
    const std::string digits = std::to_string(number);
    return std::string(revision_digits - digits.size(), '0') + digits;
}

} // namespace

std::string encode_head(const head& written) {
    json recent = json::array();
    for (const recent_change& past : written.recent) {
        recent.push_back({{"at", past.at.value()}, {"id", past.id}});
    }
    return json{{"at", written.at.value()},
                {"tombstones_since", written.tombstones_since.value()},
                {"fingerprint", written.fingerprint},
                {"shards", written.shards},
                {"recent", recent}}
        .dump();
}

result<head> decode_head(std::string_view text) {
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object() || !object.value("shards", json{}).is_array()) {
        return failure(errc::malformed);
    }
    head read;
    read.at = revision{number_at(object, "at")};
    read.tombstones_since = revision{number_at(object, "tombstones_since")};
    read.fingerprint = number_at(object, "fingerprint");
    for (const json& key : object.at("shards")) {
        read.shards.push_back(key.is_string() ? key.get<std::string>() : std::string{});
    }
    for (const json& past : object.value("recent", json::array())) {
        if (past.is_object()) {
            read.recent.push_back({revision{number_at(past, "at")}, text_at(past, "id")});
        }
    }
    if (read.at.empty() || read.shards.empty()) {
        return failure(errc::malformed);
    }
    return read;
}

std::optional<revision> find_change(const head& read, const std::string& id) {
    for (const recent_change& past : read.recent) {
        if (past.id == id) {
            return past.at;
        }
    }
    return std::nullopt;
}

std::string encode_shard(const shard& written) {
    json services = json::array();
    for (const auto& [name, accepted] : written.services) {
        services.push_back(encode_service(*accepted));
    }
    json tombstones = json::array();
    for (const auto& [name, erased] : written.tombstones) {
        tombstones.push_back(encode_tombstone(name, erased));
    }
    return json{{"services", services}, {"tombstones", tombstones}}.dump();
}

result<shard> decode_shard(std::string_view text) {
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return failure(errc::malformed);
    }
    shard read;
    const auto decoded = decode_records(object, read.services, read.tombstones);
    if (!decoded) {
        return tl::unexpected(decoded.error());
    }
    return read;
}

std::vector<shard> split(const snapshot& whole, std::size_t count) {
    std::vector<shard> parts(count);
    for (const auto& [name, accepted] : whole.services()) {
        parts[shard_of(name, count)].services.emplace(name, accepted);
    }
    for (const auto& [name, erased] : whole.tombstones()) {
        parts[shard_of(name, count)].tombstones.emplace(name, erased);
    }
    return parts;
}

std::size_t choose_shard_count(const snapshot& whole, std::size_t before) {
    std::size_t count = std::max<std::size_t>(before, 1);
    while (count < max_shards && has_shard_over_target(whole, count)) {
        count *= 2;
    }
    return count;
}

std::string shard_key(revision target, const std::string& change_id, std::size_t index) {
    return shard_prefix + padded(target.value()) + "/" + change_id + "/" + std::to_string(index);
}

revision target_of(const std::string& key) {
    const std::string prefix = shard_prefix;
    if (key.compare(0, prefix.size(), prefix) != 0 ||
        key.size() < prefix.size() + revision_digits) {
        return {};
    }
    std::uint64_t number = 0;
    const char* first = key.data() + prefix.size();
    const auto parsed = std::from_chars(first, first + revision_digits, number);
    return revision{parsed.ptr == first + revision_digits ? number : 0};
}

result<snapshot_ptr> assemble(const head& read, const shard_map& shards) {
    service_map services;
    tombstone_map tombstones;
    for (const std::string& key : read.shards) {
        if (key.empty()) {
            continue;
        }
        const auto found = shards.find(key);
        if (found == shards.end()) {
            return failure(errc::inconsistent);
        }
        const shard& part = found->second;
        services.insert(part.services.begin(), part.services.end());
        tombstones.insert(part.tombstones.begin(), part.tombstones.end());
    }
    std::erase_if(tombstones,
                  [&](const auto& entry) { return entry.second <= read.tombstones_since; });
    auto whole = std::make_shared<const snapshot>(read.at, std::move(services),
                                                  std::move(tombstones), read.tombstones_since);
    if (whole->fingerprint() != read.fingerprint) {
        return failure(errc::inconsistent);
    }
    return whole;
}

result<shard_map> decode_shards(const head& read, const std::vector<store::entry>& entries,
                                const shard_map& known) {
    const std::set<std::string> named{read.shards.begin(), read.shards.end()};
    shard_map shards;
    for (const store::entry& listed : entries) {
        if (named.count(listed.key) == 0) {
            continue;
        }
        const auto before = known.find(listed.key);
        if (before != known.end()) {
            shards.emplace(*before);
            continue;
        }
        auto part = decode_shard(listed.value);
        if (!part) {
            return tl::unexpected(part.error());
        }
        shards.emplace(listed.key, std::move(*part));
    }
    return shards;
}

result<stored> decode_listing(const std::vector<store::entry>& entries, const shard_map& known) {
    stored found;
    const auto at_head = std::find_if(entries.begin(), entries.end(),
                                      [](const auto& listed) { return listed.key == head_key; });
    if (at_head == entries.end()) {
        return found;
    }
    auto read = decode_head(at_head->value);
    if (!read) {
        return tl::unexpected(read.error());
    }
    auto shards = decode_shards(*read, entries, known);
    if (!shards) {
        return tl::unexpected(shards.error());
    }
    auto whole = assemble(*read, *shards);
    if (!whole) {
        return tl::unexpected(whole.error());
    }
    found.head_modified = at_head->modified;
    found.read = std::move(*read);
    found.whole = std::move(*whole);
    found.shards = std::move(*shards);
    return found;
}

} // namespace cicadahatch::configuration::internal
