#include "src/forwarding/request_context.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

const char* to_string(ending reason) noexcept {
    switch (reason) {
    case ending::none:
        return "none";
    case ending::caller_left:
        return "caller_left";
    case ending::time_over:
        return "time_over";
    }
    return "unknown";
}

request_context::request_context(asio::io_context& loop, routing::route_table_ptr table,
                                 const routing::route& of, request_metadata metadata,
                                 time_point arrived)
    : table_(std::move(table)), route_(&of), metadata_(std::move(metadata)), arrived_(arrived),
      ends_at_(arrived + of.timeout), timer_(loop) {
    if (metadata_.timeout) {
        ends_at_ = std::min(ends_at_, arrived_ + *metadata_.timeout);
    }
}

void request_context::start_timer() {
    timer_.expires_at(ends_at_);
    timer_.async_wait([weak = weak_from_this()](const net_error& error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->end(ending::time_over);
        }
    });
}

void request_context::stop_timer() {
    timer_.cancel();
}

void request_context::end(ending reason) {
    if (is_ended()) {
        return;
    }
    ended_ = reason;
    for (const connection_ptr& exchange : open_) {
        exchange->cancel();
    }
    open_.clear();
    if (on_end_) {
        on_end_();
    }
}

void request_context::note_answer(time_point at) {
    if (answered_at_ == time_point{}) {
        answered_at_ = at;
    } else {
        longest_gap_ = std::max(longest_gap_, at - last_part_at_);
    }
    last_part_at_ = at;
}

void request_context::attach(const connection_ptr& opened) {
    if (is_ended()) {
        opened->cancel();
        return;
    }
    open_.push_back(opened);
}

void request_context::detach(const connection_ptr& closed) {
    std::erase(open_, closed);
}

} // namespace cicadahatch::forwarding
