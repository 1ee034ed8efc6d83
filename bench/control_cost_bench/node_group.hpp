#pragma once

#include "cicadahatch/core"
#include "cicadahatch/membership"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace cicadahatch::control_cost_bench {

/// \brief What the nodes carry besides heartbeats.
struct load {
    double requests = 0;      ///< a second and node
    bool has_digests = false; ///< each node renews the digest of one cell
    bool has_copies = false;  ///< homes copy their grants to the next home
};

/// \brief Agents of one failure domain with real sockets; each is the home of one cell.
class node_group {
public:
    explicit node_group(std::size_t count);
    node_group(const node_group&) = delete;
    node_group& operator=(const node_group&) = delete;
    node_group(node_group&&) = delete;
    node_group& operator=(node_group&&) = delete;
    /// A listener with open links takes up to two seconds to stop, so all stop at once.
    ~node_group();

    /// \brief Carries a load; requests that are open at the end go on in the next run.
    void run(const load& carried, std::chrono::milliseconds how_long);
    /// \returns what all nodes have carried
    [[nodiscard]] rpc::traffic carried() const;
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }

private:
    using moment = std::chrono::steady_clock::time_point;

    /// A message of a request's holder to the home, at the time of its event.
    struct planned {
        std::size_t from = 0;
        daemon_id home;
        rpc::message content;
    };

    /// What a home knows of its grants and of the copy at the next home.
    struct home_book {
        std::map<request_id, rpc::grant_record> live;
        std::vector<rpc::grant_record> added;
        std::vector<request_id> removed;
        std::uint64_t copies = 0;
        moment whole_copy_at;
    };

    [[nodiscard]] std::unique_ptr<membership::agent>
    start(std::size_t index, const std::vector<http::endpoint>& seeds);
    void begin_request();
    void take(std::size_t index, const rpc::delivery& taken);
    void grant(std::size_t index, const daemon_id& owner, const rpc::acquire& asked);
    void plan_rest(std::size_t index, const daemon_id& home, const rpc::granted& given);
    void end_grant(std::size_t index, const rpc::release& ended);
    void send_planned(moment now);
    void send_copy(std::size_t index, moment now);
    void send_copies(moment now);
    void spread_digests();
    [[nodiscard]] static daemon_id id_of(std::size_t index);

    system_clock clock_;
    random_source random_{1};
    std::uint64_t requests_ = 0;
    std::uint64_t digest_version_ = 0;
    std::atomic<bool> has_copies_{false};
    std::mutex mutex_; ///< guards what follows up to the nodes
    std::multimap<moment, planned> planned_;
    std::vector<home_book> books_;
    std::vector<membership::agent*> handlers_; ///< valid until an agent's destructor ends
    std::vector<std::unique_ptr<membership::agent>> nodes_;
};

} // namespace cicadahatch::control_cost_bench
