#include "src/store/etcd_store.hpp"

#include "src/core/macros.hpp"
#include "src/http/error.hpp"
#include "src/store/error.hpp"
#include "src/store/internal/gateway_codec.hpp"
#include "src/store/internal/watch_reader.hpp"

namespace cicadahatch::store {

namespace {

constexpr const char* range_path = "/v3/kv/range";
constexpr const char* txn_path = "/v3/kv/txn";
constexpr const char* grant_path = "/v3/lease/grant";
constexpr const char* keep_alive_path = "/v3/lease/keepalive";
constexpr const char* revoke_path = "/v3/lease/revoke";

http::request post(const std::string& path, const std::string& body) {
    const http::header json_type{"Content-Type", "application/json"};
    return {"POST", path, "", {json_type, http::no_interim()}, body};
}

/// After a write's reply has failed to decode, nothing is proved about the write.
template <class T>
result<T> as_write_reply(result<T> decoded) {
    if (!decoded && decoded.error() == errc::protocol) {
        return failure(errc::outcome_unknown);
    }
    return decoded;
}

} // namespace

etcd_store::etcd_store(std::vector<http::endpoint> endpoints, http::client_tls tls,
                       std::chrono::milliseconds timeout)
    : endpoints_(std::move(endpoints)), timeout_(timeout), pool_(std::move(tls)) {
    CICADAHATCH_ASSERT(!endpoints_.empty(), etcd_store_has_an_endpoint);
}

etcd_store::~etcd_store() {
    for (auto& [prefix, reader] : readers_) {
        reader->stop();
    }
}

result<std::string> etcd_store::read(const std::string& path, const std::string& body) {
    const std::size_t first = preferred_;
    for (std::size_t step = 0; step < endpoints_.size(); ++step) {
        const std::size_t index = (first + step) % endpoints_.size();
        auto answer = pool_.call(endpoints_[index], post(path, body), timeout_);
        if (answer && answer->status == http::status_ok && !answer->body.empty()) {
            preferred_ = index;
            return std::move(answer->body);
        }
    }
    return failure(errc::unavailable);
}

result<std::string> etcd_store::write(const std::string& path, const std::string& body) {
    const std::size_t first = preferred_;
    for (std::size_t step = 0; step < endpoints_.size(); ++step) {
        const std::size_t index = (first + step) % endpoints_.size();
        auto answer = pool_.call_once(endpoints_[index], post(path, body), timeout_);
        if (!answer && http::is_surely_unsent(answer.error())) {
            continue;
        }
        preferred_ = answer ? index : (index + 1) % endpoints_.size();
        if (!answer) {
            return failure(errc::outcome_unknown);
        }
        if (answer->status == http::status_ok) {
            return std::move(answer->body);
        }
        const std::error_code refused = internal::decode_failure(answer->body);
        if (refused != errc::unavailable) {
            return tl::unexpected(refused);
        }
    }
    return failure(errc::unavailable);
}

result<std::optional<entry>> etcd_store::get(const std::string& key) {
    const auto body = read(range_path, internal::encode_get(key));
    if (!body) {
        return tl::unexpected(body.error());
    }
    auto listed = internal::decode_range(*body);
    if (!listed) {
        return tl::unexpected(listed.error());
    }
    if (listed->entries.empty()) {
        return std::optional<entry>{};
    }
    return std::optional<entry>{std::move(listed->entries.front())};
}

result<listing> etcd_store::list(const std::string& prefix) {
    const auto body = read(range_path, internal::encode_list(prefix));
    if (!body) {
        return tl::unexpected(body.error());
    }
    return internal::decode_range(*body);
}

result<swap_outcome> etcd_store::transact(const std::string& body) {
    const auto reply = write(txn_path, body);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return as_write_reply(internal::decode_txn(*reply));
}

result<swap_outcome> etcd_store::swap(const std::string& key, revision expected,
                                      const std::string& value, lease_id lease) {
    if (value.size() > max_value_bytes) {
        return failure(errc::value_too_large);
    }
    return transact(internal::encode_swap(key, expected, value, lease));
}

result<swap_outcome> etcd_store::erase(const std::string& key, revision expected) {
    CICADAHATCH_ASSERT(!expected.empty(), erase_names_a_revision);
    return transact(internal::encode_erase(key, expected));
}

result<lease_id> etcd_store::grant_lease(std::chrono::seconds time_to_live) {
    const auto reply = write(grant_path, internal::encode_grant(time_to_live));
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return as_write_reply(internal::decode_grant(*reply));
}

result<std::chrono::seconds> etcd_store::keep_alive(lease_id lease) {
    const auto reply = write(keep_alive_path, internal::encode_lease(lease));
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return as_write_reply(internal::decode_keep_alive(*reply));
}

result<void> etcd_store::revoke_lease(lease_id lease) {
    const auto reply = write(revoke_path, internal::encode_lease(lease));
    if (!reply && reply.error() != errc::lease_expired) {
        return tl::unexpected(reply.error());
    }
    if (reply && reply->empty()) {
        return failure(errc::outcome_unknown);
    }
    return {};
}

std::shared_ptr<internal::watch_reader> etcd_store::reader_for(const std::string& prefix,
                                                               revision from) {
    const std::lock_guard lock{mutex_};
    auto& reader = readers_[prefix];
    if (reader && reader->next() != from) {
        reader->stop();
        reader.reset();
    }
    if (!reader) {
        reader = internal::watch_reader::start(endpoints_, prefix, from, timeout_);
    }
    return reader;
}

void etcd_store::forget_reader(const std::string& prefix) {
    const std::lock_guard lock{mutex_};
    const auto found = readers_.find(prefix);
    if (found != readers_.end()) {
        found->second->stop();
        readers_.erase(found);
    }
}

result<change_batch> etcd_store::watch(const std::string& prefix, revision from,
                                       std::chrono::milliseconds wait) {
    auto batch = reader_for(prefix, from)->take(wait);
    if (!batch) {
        forget_reader(prefix);
    }
    return batch;
}

etcd_store_builder& etcd_store_builder::add_endpoint(http::endpoint place) {
    endpoints_.push_back(std::move(place));
    return *this;
}

etcd_store_builder& etcd_store_builder::tls(http::client_tls files) {
    tls_ = std::move(files);
    return *this;
}

etcd_store_builder& etcd_store_builder::timeout(std::chrono::milliseconds timeout) {
    timeout_ = timeout;
    return *this;
}

std::unique_ptr<etcd_store> etcd_store_builder::build() {
    return std::make_unique<etcd_store>(endpoints_, tls_, timeout_);
}

} // namespace cicadahatch::store
