#pragma once

#include "src/core/clock.hpp"
#include "src/http/client_pool.hpp"
#include "src/serving/backend_directory.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace cicadahatch::serving {

/// \brief Asks backend servers for their load in the background, a few at a time.
///
/// Engines whose load report tells of changes in their prefix cache are asked for its content.
/// A server that does not answer several times in a row counts as unreachable until it answers.
class load_poller {
public:
    /// \brief Tells which servers this daemon has to ask; must not call the directory.
    using filter = std::function<bool(const backend_row&)>;

    /// \param make_filter called before each look at the directory
    load_poller(const clock& time, backend_directory& directory,
                std::function<filter()> make_filter);
    load_poller(const load_poller&) = delete;
    load_poller& operator=(const load_poller&) = delete;
    load_poller(load_poller&&) = delete;
    load_poller& operator=(load_poller&&) = delete;
    ~load_poller();

    /// \brief Called with each server that says that it is leaving.
    void on_leaving(std::function<void(const backend_id&, incarnation)> called);

private:
    void run();
    void poll(const backend_row& server);
    [[nodiscard]] std::vector<backend_row> due();
    void look(time_point now);
    [[nodiscard]] std::shared_ptr<const engines::cached_prefix_set>
    changed_cache(const backend_row& server, const engines::load_report& load);
    void finish(const backend_id& id, bool is_answered);

    const clock& time_;
    backend_directory& directory_;
    std::function<filter()> make_filter_;
    std::function<void(const backend_id&, incarnation)> on_leaving_;
    http::client_pool pool_;
    std::mutex mutex_;
    std::condition_variable stopping_;
    bool is_stopping_ = false;
    time_point next_look_;
    std::deque<backend_row> waiting_;
    std::map<backend_id, time_point> next_;
    std::map<backend_id, int> misses_;
    std::map<backend_id, time_point> next_cache_call_; ///< after a failed call for the cache
    std::vector<std::thread> workers_;
};

} // namespace cicadahatch::serving
