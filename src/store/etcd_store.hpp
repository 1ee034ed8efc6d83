#pragma once

#include "src/core/result.hpp"
#include "src/http/client_pool.hpp"
#include "src/http/endpoint.hpp"
#include "src/store/constants.hpp"
#include "src/store/key_value_store.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace cicadahatch::store {

namespace internal {
class watch_reader;
}

/// \brief The key-value service over etcd's v3 JSON protocol.
///
/// Endpoints are tried in turn, from the one that answered last. A write moves on to the next
/// endpoint only if no byte of it can have reached the one before. A watched prefix holds one
/// stream open, which later calls of watch() go on reading. etcd states no generation, so a restore
/// from a backup is not noticed.
/// \sa etcd_store_builder
class etcd_store final : public key_value_store {
public:
    etcd_store(std::vector<http::endpoint> endpoints, http::client_tls tls,
               std::chrono::milliseconds timeout);
    etcd_store(const etcd_store&) = delete;
    etcd_store& operator=(const etcd_store&) = delete;
    etcd_store(etcd_store&&) = delete;
    etcd_store& operator=(etcd_store&&) = delete;
    ~etcd_store() override;

    [[nodiscard]] result<std::optional<entry>> get(const std::string& key) override;
    [[nodiscard]] result<listing> list(const std::string& prefix) override;
    [[nodiscard]] result<swap_outcome> swap(const std::string& key, revision expected,
                                            const std::string& value, lease_id lease) override;
    [[nodiscard]] result<swap_outcome> erase(const std::string& key, revision expected) override;
    [[nodiscard]] result<lease_id> grant_lease(std::chrono::seconds time_to_live) override;
    [[nodiscard]] result<std::chrono::seconds> keep_alive(lease_id lease) override;
    [[nodiscard]] result<void> revoke_lease(lease_id lease) override;
    [[nodiscard]] result<change_batch> watch(const std::string& prefix, revision from,
                                             std::chrono::milliseconds wait) override;
    void end_watch(const std::string& prefix) override { forget_reader(prefix); }

private:
    [[nodiscard]] result<std::string> read(const std::string& path, const std::string& body);
    [[nodiscard]] result<std::string> write(const std::string& path, const std::string& body);
    [[nodiscard]] result<swap_outcome> transact(const std::string& body);
    [[nodiscard]] std::shared_ptr<internal::watch_reader> reader_for(const std::string& prefix,
                                                                     revision from);
    void forget_reader(const std::string& prefix);

    std::vector<http::endpoint> endpoints_;
    std::chrono::milliseconds timeout_;
    http::client_pool pool_;
    std::atomic<std::size_t> preferred_{0};
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<internal::watch_reader>> readers_;
};

/// \brief Builds an etcd_store.
class etcd_store_builder {
public:
    etcd_store_builder& add_endpoint(http::endpoint place);
    etcd_store_builder& tls(http::client_tls files);
    /// \param timeout longest wait for one reply
    etcd_store_builder& timeout(std::chrono::milliseconds timeout);

    /// Needs at least one endpoint.
    [[nodiscard]] std::unique_ptr<etcd_store> build();

private:
    std::vector<http::endpoint> endpoints_;
    http::client_tls tls_;
    std::chrono::milliseconds timeout_ = default_call_timeout;
};

} // namespace cicadahatch::store
