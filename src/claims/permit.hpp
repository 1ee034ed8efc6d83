#pragma once

#include "src/claims/claim.hpp"
#include "src/core/clock.hpp"

#include <cstdint>
#include <utility>

namespace cicadahatch::claims {

/// \brief The right to run one request once. It can be moved, not copied.
///
/// A permit that is dropped leaves its claim standing: repeats are told "unknown". Give it back
/// with claim_book::record() or claim_book::abandon().
class permit {
public:
    permit(const permit&) = delete;
    permit& operator=(const permit&) = delete;
    permit(permit&&) = default;
    permit& operator=(permit&&) = default;
    ~permit() = default;

    [[nodiscard]] const claim_attempt& attempt() const noexcept { return attempt_; }
    [[nodiscard]] const claim_request& request() const noexcept { return request_; }

    /// \brief To be asked right before the first byte is sent to a backend server.
    /// \returns whether the deadline lies ahead by the monotonic and by the calendar clock; the
    /// second also counts the time that a VM was suspended
    [[nodiscard]] bool may_send(const clock& time) const {
        return time.now() < request_.deadline && time.wall_now() < wall_deadline_;
    }

private:
    friend class claim_book;
    permit(claim_request request, claim_attempt attempt, std::uint64_t segment,
           wall_time wall_deadline)
        : request_(std::move(request)), attempt_(std::move(attempt)), segment_(segment),
          wall_deadline_(wall_deadline) {}

    claim_request request_;
    claim_attempt attempt_;
    std::uint64_t segment_;
    wall_time wall_deadline_;
};

} // namespace cicadahatch::claims
