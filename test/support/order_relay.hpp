#pragma once

#include "cicadahatch/http"

#include <condition_variable>
#include <memory>
#include <mutex>

namespace cicadahatch::test_support {

/// \brief Stands between the daemons and an engine and holds the first order back, as a slow
/// network would.
class order_relay {
public:
    explicit order_relay(http::endpoint engine);

    [[nodiscard]] const http::endpoint& place() const { return server_->place(); }
    /// \returns whether an order is held back
    [[nodiscard]] bool is_holding() const;
    /// \brief Passes the order on that is held back.
    void let_go();

private:
    void hold();
    void forward(http::exchange& call);

    http::endpoint engine_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool has_held_ = false;
    bool is_let_go_ = false;
    std::unique_ptr<http::server> server_; ///< last, so that it ends before what it uses
};

} // namespace cicadahatch::test_support
