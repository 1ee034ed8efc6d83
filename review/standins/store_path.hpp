#pragma once

#include "review/standins/wire.hpp"

#include <mutex>
#include <set>

namespace review {

/// \brief The path from one machine to the platform's store. While it is cut, connections are
/// reset.
class store_path {
public:
    explicit store_path(std::uint16_t store_port);
    [[nodiscard]] std::string place() const { return place_of(server_.port()); }

    void cut();
    void heal();
    /// \brief Waits until the store's answers reach the machine again. \returns when they did
    [[nodiscard]] clock::time_point wait_for_answer();

private:
    void serve(tcp::socket& from);
    void forward(tcp::socket& from, tcp::socket& to, bool is_answer);

    std::uint16_t store_port_;
    std::mutex mutex_;
    std::set<tcp::socket*> open_;
    bool is_cut_ = false;
    std::atomic<bool> has_answered_{false};
    server server_; ///< last: its threads use the members above
};

} // namespace review
