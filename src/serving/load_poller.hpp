#pragma once

#include "src/core/clock.hpp"
#include "src/http/client_pool.hpp"
#include "src/serving/backend_directory.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace cicadahatch::serving {

/// \brief Asks backend servers for their load in the background, a few at a time.
///
/// A server that does not answer several times in a row counts as unreachable until it answers.
class load_poller {
public:
    /// \param is_wanted which servers this daemon has to ask
    load_poller(const clock& time, backend_directory& directory,
                std::function<bool(const backend_row&)> is_wanted);
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
    void finish(const backend_id& id, bool is_answered);

    const clock& time_;
    backend_directory& directory_;
    std::function<bool(const backend_row&)> is_wanted_;
    std::function<void(const backend_id&, incarnation)> on_leaving_;
    http::client_pool pool_;
    std::mutex mutex_;
    std::condition_variable stopping_;
    bool is_stopping_ = false;
    std::map<backend_id, time_point> next_;
    std::map<backend_id, int> misses_;
    std::vector<std::thread> workers_;
};

} // namespace cicadahatch::serving
