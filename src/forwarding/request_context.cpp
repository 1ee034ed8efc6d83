#include "src/forwarding/request_context.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

const char* to_string(request_end_reason reason) noexcept {
    switch (reason) {
    case request_end_reason::none:
        return "none";
    case request_end_reason::caller_left:
        return "caller_left";
    case request_end_reason::time_over:
        return "time_over";
    case request_end_reason::access_withdrawn:
        return "access_withdrawn";
    case request_end_reason::stopping:
        return "stopping";
    }
    return "unknown";
}

request_context::request_context(asio::io_context& loop, routing::route_table_ptr table,
                                 const routing::route& matched_route, request_metadata metadata,
                                 time_point arrived, const routing::team* owner)
    : table_(std::move(table)), route_(&matched_route), owner_(owner),
      metadata_(std::move(metadata)), arrived_(arrived), deadline_(arrived + matched_route.timeout),
      timer_(loop) {
    if (metadata_.timeout) {
        deadline_ = std::min(deadline_, arrived_ + *metadata_.timeout);
    }
}

void request_context::start_timer() {
    timer_.expires_at(deadline_);
    timer_.async_wait([weak = weak_from_this()](const net_error& error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->end(request_end_reason::time_over);
        }
    });
}

void request_context::stop_timer() {
    timer_.cancel();
}

void request_context::end(request_end_reason reason) {
    if (is_ended()) {
        return;
    }
    end_reason_ = reason;
    for (const connection_ptr& exchange : open_) {
        exchange->cancel();
    }
    open_.clear();
    if (end_handler_) {
        end_handler_();
    }
}

void request_context::record_response_part(time_point at) {
    if (!has_response_begun()) {
        first_part_at_ = at;
    } else {
        longest_gap_ = std::max(longest_gap_, at - last_part_at_);
    }
    last_part_at_ = at;
}

void request_context::attach(const connection_ptr& connection) {
    if (is_ended()) {
        connection->cancel();
        return;
    }
    open_.push_back(connection);
}

void request_context::detach(const connection_ptr& connection) {
    std::erase(open_, connection);
}

} // namespace cicadahatch::forwarding
