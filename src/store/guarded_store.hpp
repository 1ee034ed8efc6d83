#pragma once

#include "src/core/random.hpp"
#include "src/core/token_bucket.hpp"
#include "src/store/circuit.hpp"
#include "src/store/key_value_store.hpp"

#include <map>
#include <mutex>

namespace cicadahatch::store {

/// \brief Rates of calls that one daemon may make.
struct call_budget {
    double reads_per_second = 20.0;
    double read_burst = 20.0;
    double writes_per_second = 20.0;
    double write_burst = 20.0;
};

/// \brief Part of the platform's rates that each of a number of daemons may use.
/// \param reads_per_second, writes_per_second what the platform takes from all daemons together
/// \param daemons how many share it; at least one
[[nodiscard]] call_budget share_budget(double reads_per_second, double writes_per_second,
                                       std::size_t daemons);

/// \brief Keeps one daemon from storming the key-value service.
///
/// Calls over the budget fail at once with errc::rate_limited; while the circuit is open they fail
/// with errc::circuit_open. Either proves that nothing was sent. When the circuit closes the
/// buckets are empty, so all daemons returning at once come at their steady rates. A watch that
/// continues where the last one ended spends no token, as it waits on an open stream; keeping a
/// lease alive spends none, as losing the lease would cost more calls.
class guarded_store final : public key_value_store {
public:
    /// \param kept,time outlive this object
    /// \param seed differs between daemons, so that their pauses do
    guarded_store(key_value_store& kept, const clock& time, const call_budget& budget,
                  const circuit_limits& limits, std::uint64_t seed);

    [[nodiscard]] bool is_circuit_open() const;

    /// \brief Changes the rates, as when the number of daemons that share them has changed.
    void set_budget(const call_budget& budget);

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
    void end_watch(const std::string& prefix) override;

private:
    /// \param bucket null: the call spends no token
    [[nodiscard]] std::error_code admit(token_bucket* bucket);
    void record(const std::error_code& error);
    [[nodiscard]] bool continues_watch(const std::string& prefix, revision from) const;

    template <class Call>
    [[nodiscard]] auto guarded(token_bucket* bucket, Call call) -> decltype(call());

    key_value_store& kept_;
    const clock& time_;
    mutable std::mutex mutex_;
    random_source random_;
    circuit circuit_;
    token_bucket reads_;
    token_bucket writes_;
    std::map<std::string, revision> watched_; ///< where the last watch of a prefix ended
};

} // namespace cicadahatch::store
