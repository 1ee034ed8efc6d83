#pragma once

#include "review/standins/installation.hpp"

#include <atomic>
#include <memory>

namespace review {

/// \brief Clients that send one order after another, each on a channel that it keeps.
class order_flow {
public:
    order_flow(record& notes, std::uint16_t port, std::string service, std::size_t clients);
    order_flow(const order_flow&) = delete;
    order_flow& operator=(const order_flow&) = delete;
    order_flow(order_flow&&) = delete;
    order_flow& operator=(order_flow&&) = delete;
    ~order_flow() { stop(); }

    void stop();
    /// \returns the orders whose channel ended without an answer
    [[nodiscard]] std::vector<std::string> unanswered();
    [[nodiscard]] std::size_t answered() const { return answered_; }

private:
    void run(std::size_t number);

    record& notes_;
    std::uint16_t port_;
    std::string service_;
    std::atomic<bool> is_stopping_{false};
    std::atomic<std::size_t> answered_{0};
    std::mutex mutex_;
    std::vector<std::string> unanswered_;
    std::vector<std::thread> clients_;
};

/// \brief Judges LOST at a daemon that has ended by itself: requests from kept channels that a
/// sound engine ran and whose channel ended without an answer.
/// \returns whether there are more than three
bool is_lost_broken(record& notes, order_flow& orders, engine& sound);

} // namespace review
