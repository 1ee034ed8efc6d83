#include "src/configuration/follower.hpp"

#include "src/configuration/constants.hpp"
#include "src/configuration/error.hpp"

#include <glog/logging.h>
#include <set>

namespace cicadahatch::configuration {

namespace {

/// More missing shards than this are read by one listing.
constexpr std::size_t max_single_reads = 4;

} // namespace

follower::follower(store::key_value_store& kept, holder& own)
    : kept_(kept), own_(own), watch_(kept, head_key) {}

result<bool> follower::poll(std::chrono::milliseconds wait) {
    if (!pending_) {
        const auto update = watch_.poll(wait);
        if (!update) {
            return tl::unexpected(update.error());
        }
        note_head(*update);
    }
    return pending_ ? take_pending() : result<bool>{false};
}

void follower::note_head(const store::watch_update& update) {
    for (const store::entry& listed : update.entries) {
        if (listed.key == head_key) {
            pending_ = listed.value;
        }
    }
    for (const store::change& seen : update.changes) {
        if (seen.changed.key != head_key) {
            continue;
        }
        if (seen.is_erased) {
            LOG(ERROR) << "configuration: head erased from the store, keeping what is in force";
            continue;
        }
        pending_ = seen.changed.value;
    }
}

result<bool> follower::take_pending() {
    const auto read = internal::decode_head(*pending_);
    if (!read) {
        pending_.reset();
        return tl::unexpected(read.error());
    }
    if (read->at <= own_.at()) {
        pending_.reset();
        return false;
    }
    if (const std::error_code error = read_missing(*read)) {
        return tl::unexpected(error);
    }
    forget_others(*read);
    pending_.reset();
    auto whole = internal::assemble(*read, shards_);
    if (!whole) {
        // A shard is missing because the head has moved on meanwhile.
        watch_.restart();
        return tl::unexpected(whole.error());
    }
    return own_.offer(*whole);
}

std::error_code follower::read_missing(const internal::head& read) {
    std::vector<std::string> missing;
    for (const std::string& key : read.shards) {
        if (!key.empty() && shards_.count(key) == 0) {
            missing.push_back(key);
        }
    }
    return missing.size() > max_single_reads ? list_all(read) : read_each(missing);
}

std::error_code follower::read_each(const std::vector<std::string>& missing) {
    for (const std::string& key : missing) {
        const auto found = kept_.get(key);
        if (!found) {
            return found.error();
        }
        if (!*found) {
            continue;
        }
        auto part = internal::decode_shard((*found)->value);
        if (!part) {
            return part.error();
        }
        shards_.emplace(key, std::move(*part));
    }
    return {};
}

std::error_code follower::list_all(const internal::head& read) {
    const auto listed = kept_.list(shard_prefix);
    if (!listed) {
        return listed.error();
    }
    auto shards = internal::decode_shards(read, listed->entries, shards_);
    if (!shards) {
        return shards.error();
    }
    shards_.merge(*shards);
    return {};
}

void follower::forget_others(const internal::head& read) {
    const std::set<std::string> named{read.shards.begin(), read.shards.end()};
    std::erase_if(shards_, [&](const auto& entry) { return named.count(entry.first) == 0; });
}

} // namespace cicadahatch::configuration
