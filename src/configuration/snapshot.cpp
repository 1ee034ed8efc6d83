#include "src/configuration/snapshot.hpp"

#include "src/core/hash.hpp"

namespace cicadahatch::configuration {

namespace {

/// Sums of hashes do not depend on the order of the parts.
std::uint64_t fingerprint_of(revision at, const service_map& services,
                             const tombstone_map& tombstones) {
    std::uint64_t sum = at.value();
    for (const auto& [name, accepted] : services) {
        sum += stable_hash(accepted->text, stable_hash(name.str(), accepted->changed.value()));
    }
    for (const auto& [name, erased] : tombstones) {
        sum += stable_hash(name.str(), ~erased.value());
    }
    return sum;
}

} // namespace

snapshot::snapshot(revision at, service_map services, tombstone_map tombstones,
                   revision tombstones_since)
    : at_(at), services_(std::move(services)), tombstones_(std::move(tombstones)),
      tombstones_since_(tombstones_since),
      fingerprint_(fingerprint_of(at_, services_, tombstones_)) {}

const settings::service* snapshot::find(const service_id& name) const {
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second->described;
}

} // namespace cicadahatch::configuration
