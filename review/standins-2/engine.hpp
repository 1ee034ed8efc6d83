#pragma once

#include "review/standins-2/store.hpp"

#include <atomic>
#include <set>

namespace standins {

/// \brief One request at an engine.
struct run {
    std::string engine;
    std::string request; ///< its X-Cicadahatch-Attempt-Id
    std::string what;    ///< "plain", "prefill" or "decode"
    time_point began_at;
    time_point ended_at;      ///< the epoch while it goes on
    bool is_answered = false; ///< the whole answer was written
};

/// \brief What all engines have run.
class run_book {
public:
    /// \returns the number of the run
    std::size_t begin(const std::string& engine, const std::string& request,
                      const std::string& what);
    void end(std::size_t number, bool is_answered);
    [[nodiscard]] std::vector<run> all();
    /// \returns how many decode runs go on
    [[nodiscard]] std::size_t count_open(const std::string& what);

private:
    std::mutex mutex_;
    std::vector<run> runs_;
};

/// \brief An engine of a plain service. It runs a request and answers it whole.
class plain_engine {
public:
    plain_engine(run_book& book, std::string id, std::string service);

    /// \brief While set, an interim answer (RFC 9110, 15.2) goes before each answer.
    void set_interim(bool is_on) { sends_interim_ = is_on; }
    void enter(store& platform) const;

private:
    bool handle(tcp::socket& socket, const any_request& asked);

    run_book& book_;
    std::string id_;
    std::string service_;
    std::atomic<bool> sends_interim_{false};
    listener listener_; ///< last, as its threads use the rest
};

/// \brief A time in which the memory of the decode engines is short: they take no reservations, and
/// the stream of one request, the newest, is preempted and goes on when the time is over.
class memory_shortage {
public:
    /// \param victim the request that is preempted behind its event of this number
    memory_shortage(std::string victim, unsigned long event, std::chrono::milliseconds length)
        : victim_(std::move(victim)), event_(event), length_(length) {}

    /// \brief Begins and waits it out if this is the victim's event. Begins once.
    void meet(const std::string& request, unsigned long event);
    [[nodiscard]] bool is_on() const;
    [[nodiscard]] bool has_begun() const;

private:
    std::string victim_;
    unsigned long event_;
    std::chrono::milliseconds length_;
    mutable std::mutex mutex_;
    time_point ends_at_; ///< the epoch before it has begun
};

/// \brief A model engine. A stream has as many events as its request states output tokens, one for
/// each 61.
class model_engine {
public:
    model_engine(run_book& book, std::string id, std::string stage, std::size_t slots);

    /// \param shortage outlives this object
    void set_shortage(memory_shortage& shortage) { shortage_ = &shortage; }
    void enter(store& platform) const;

private:
    bool handle(tcp::socket& socket, const any_request& asked);
    bool call(tcp::socket& socket, const any_request& asked, const std::string& target,
              const std::string& echo);
    bool take_hold(tcp::socket& socket, const std::string& echo);
    bool prefill(tcp::socket& socket, const std::string& request, const std::string& echo);
    bool decode(tcp::socket& socket, const any_request& asked, const std::string& request,
                const std::string& echo);
    [[nodiscard]] std::string next_name(const char* kind);

    run_book& book_;
    std::string id_;
    std::string stage_;
    std::size_t slots_ = 0;
    memory_shortage* shortage_ = nullptr; ///< null: there is none
    std::mutex mutex_;
    std::size_t running_ = 0;
    std::uint64_t last_name_ = 0;
    std::map<std::string, time_point> holds_; ///< with the ends of their leases
    listener listener_;                       ///< last, as its threads use the rest
};

} // namespace standins
