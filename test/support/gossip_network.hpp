#pragma once

#include "cicadahatch/core"
#include "cicadahatch/membership"
#include "cicadahatch/rpc"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cicadahatch::test_support {

/// \brief What the simulated network does to messages.
struct network_faults {
    double loss = 0;
    double duplication = 0;
    std::chrono::milliseconds min_delay{1};
    std::chrono::milliseconds max_delay{5}; ///< wider than a step: messages overtake each other
};

/// \brief Members in one process that exchange messages on a manual clock.
class gossip_network {
public:
    struct node {
        membership::gossip_state state;
        bool is_running = true;
        time_point frozen_until;
        std::vector<membership::member_event> events;
        std::uint64_t bytes_sent = 0; ///< encoded messages, without headers
        std::uint64_t messages_sent = 0;
    };

    gossip_network(std::uint64_t seed, network_faults faults) : faults(faults), random_(seed) {}

    /// \brief Starts a member that knows the listeners of some others as seeds.
    /// \returns its index, which is also its port
    std::size_t start(const std::string& name, const std::string& domain,
                      const std::vector<std::size_t>& seeds);
    /// \brief Starts members that all know the first three as seeds.
    void start_many(std::size_t count, const std::string& prefix, const std::string& domain,
                    const std::vector<std::size_t>& seeds);
    void kill(std::size_t index) { nodes[index]->is_running = false; }
    void freeze(std::size_t index, duration how_long);
    void run_for(duration how_long);
    /// \returns the time until the condition held, or nothing if it did not within the limit
    std::optional<duration> run_until(const std::function<bool()>& condition, duration limit);

    [[nodiscard]] time_point now() const { return clock_.now(); }
    [[nodiscard]] bool is_running(std::size_t index) const { return nodes[index]->is_running; }
    /// \returns the status of a member as another sees it; dead if unknown
    [[nodiscard]] membership::member_status status(std::size_t seen_by, std::size_t of) const;
    /// \returns whether every running member sees exactly the running ones as trusted
    [[nodiscard]] bool is_agreed() const;
    /// \returns the events of a kind at all members
    [[nodiscard]] std::size_t count_events(membership::event_kind kind) const;

    network_faults faults;
    /// Messages for which this holds are dropped; set by tests of partitions.
    std::function<bool(std::size_t from, std::size_t to)> is_cut;
    std::vector<std::unique_ptr<node>> nodes;

private:
    struct in_flight {
        std::size_t from = 0;
        std::size_t to = 0;
        rpc::message content;
    };

    void tick();
    void deliver_due();
    void step_due();
    void send_all(std::size_t from, const std::vector<membership::outgoing>& sent);
    void put_on_wire(std::size_t from, std::size_t to, const rpc::message& content);

    manual_clock clock_;
    random_source random_;
    std::multimap<time_point, in_flight> wire_;
};

} // namespace cicadahatch::test_support
