#pragma once

#include "review/standins/record.hpp"
#include "review/standins/store.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace review {

/// \brief Stand-in of an engine of a plain service. It echoes the attempt id, signs its answers,
/// runs each request for its work time, and answers 421 to requests for another engine.
class engine {
public:
    /// Takes over a request that has begun to run. \returns whether it has dealt with it
    using fault = std::function<bool(tcp::socket&, const http_request&)>;

    engine(record& notes, std::string id, milliseconds work);

    /// \brief Writes its entry.
    void enter(store& into, const std::string& service) const;
    /// \brief Sets what it does wrongly.
    void set_fault(fault wrong);
    [[nodiscard]] const std::string& id() const { return id_; }
    /// \brief Ends as a process does: its port and its connections are closed.
    void exit();
    /// \returns when each request began to run here
    [[nodiscard]] std::map<std::string, clock::time_point> begins();
    /// \returns how often the request ran here
    [[nodiscard]] int runs_of(const std::string& request);
    /// \brief Waits until so many requests have begun. \returns whether they have
    [[nodiscard]] bool wait_for_runs(std::size_t count, milliseconds patience);

private:
    void serve(tcp::socket& from);
    void answer_all(tcp::socket& from);
    void note_run(const std::string& request);

    record& notes_;
    std::string id_;
    milliseconds work_;
    std::mutex mutex_;
    std::condition_variable begun_;
    std::map<std::string, int> runs_;
    std::map<std::string, clock::time_point> begins_;
    std::set<tcp::socket*> open_;
    bool has_exited_ = false;
    std::size_t count_ = 0;
    fault fault_;
    server server_; ///< last: its threads use the members above
};

} // namespace review
