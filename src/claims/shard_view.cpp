#include "src/claims/shard_view.hpp"

#include "src/claims/constants.hpp"
#include "src/core/hash.hpp"

#include <algorithm>

namespace cicadahatch::claims {

namespace {

constexpr std::uint64_t shard_seed = 1;
constexpr std::size_t number_digits = 20;

/// The head is taken to be absent until a read or a refused write shows it.
void expect_new_head(shard_view& view, std::uint64_t number) {
    segment created;
    created.number = number;
    view.head = number;
    view.may_create_head = true;
    view.held_head = held_segment{std::move(created), revision{}, false};
}

} // namespace

wall_time next_due(const segment& stored) {
    wall_time due = stored.tombstones_until;
    for (const claim& each : stored.claims) {
        due = std::max(due, each.kept_until);
    }
    return due + max_clock_skew;
}

shard_view make_shard_view(const service_id& service, std::uint64_t shard) {
    shard_view view;
    view.prefix = "claims/" + std::to_string(layout_version) + "/" + service.str() + "/" +
                  std::to_string(shard) + "/";
    return view;
}

std::uint64_t shard_of(const idempotency_key& key) {
    return stable_hash(key.str(), shard_seed) % shard_count;
}

std::string segment_key(const shard_view& view, std::uint64_t number) {
    const std::string digits = std::to_string(number);
    return view.prefix + std::string(number_digits - digits.size(), '0') + digits;
}

result<void> load(shard_view& view, const store::listing& listed) {
    shard_view loaded;
    loaded.prefix = view.prefix;
    expect_new_head(loaded, loaded.head);
    for (const store::entry& each : listed.entries) {
        auto read = decode_segment(each.value);
        if (!read) {
            return tl::unexpected(read.error());
        }
        loaded.head = read->number;
        if (read->is_sealed) {
            note_sealed(loaded, *read);
        } else {
            loaded.may_create_head = false;
            loaded.held_head = held_segment{std::move(*read), each.modified, true};
        }
    }
    loaded.is_loaded = true;
    view = std::move(loaded);
    return {};
}

void note_sealed(shard_view& view, const segment& stored) {
    view.sealed.push_back({stored.number, digests_of(stored), next_due(stored)});
    expect_new_head(view, stored.number + 1);
}

void forget(shard_view& view, std::uint64_t number) {
    std::erase_if(view.sealed, [&](const sealed_segment& each) { return each.number == number; });
}

std::vector<std::uint64_t> candidates(const shard_view& view, const idempotency_key& key) {
    const std::uint64_t digest = digest_of(key);
    std::vector<std::uint64_t> numbers;
    for (auto each = view.sealed.rbegin(); each != view.sealed.rend(); ++each) {
        if (std::binary_search(each->digests.begin(), each->digests.end(), digest)) {
            numbers.push_back(each->number);
        }
    }
    return numbers;
}

} // namespace cicadahatch::claims
