#include "src/store/internal/watch_reader.hpp"

#include "src/http/constants.hpp"
#include "src/http/response_stream.hpp"
#include "src/store/error.hpp"
#include "src/store/internal/gateway_codec.hpp"

#include <thread>

namespace cicadahatch::store::internal {

namespace {

constexpr const char* watch_path = "/v3/watch";
/// A line holds at least one whole value in base64.
constexpr std::size_t max_line_bytes = 16UL * 1024 * 1024;
/// A server that ends every stream at once is not asked more often than this.
constexpr std::chrono::milliseconds reopen_pause{200};

} // namespace

watch_reader::watch_reader(std::vector<http::endpoint> endpoints, std::string prefix, revision from,
                           std::chrono::milliseconds timeout)
    : endpoints_(std::move(endpoints)), prefix_(std::move(prefix)), timeout_(timeout),
      taken_next_(from), read_next_(from) {}

std::shared_ptr<watch_reader> watch_reader::start(std::vector<http::endpoint> endpoints,
                                                  std::string prefix, revision from,
                                                  std::chrono::milliseconds timeout) {
    std::shared_ptr<watch_reader> started{
        new watch_reader{std::move(endpoints), std::move(prefix), from, timeout}};
    std::thread{[started] { started->run(); }}.detach();
    return started;
}

revision watch_reader::next() const {
    const std::lock_guard lock{mutex_};
    return taken_next_;
}

result<change_batch> watch_reader::take(std::chrono::milliseconds wait) {
    std::unique_lock lock{mutex_};
    arrived_.wait_for(lock, wait, [this] { return !changes_.empty() || error_ || is_stopped_; });
    if (changes_.empty() && error_) {
        return tl::unexpected(error_);
    }
    change_batch batch;
    batch.changes.swap(changes_);
    if (!batch.changes.empty()) {
        taken_next_ = revision{batch.changes.back().changed.modified.value() + 1};
    }
    batch.next = taken_next_;
    return batch;
}

void watch_reader::stop() {
    const std::lock_guard lock{mutex_};
    is_stopped_ = true;
    arrived_.notify_all();
}

bool watch_reader::is_ended() const {
    const std::lock_guard lock{mutex_};
    return is_stopped_ || error_;
}

revision watch_reader::read_from() const {
    const std::lock_guard lock{mutex_};
    return read_next_;
}

void watch_reader::fail(std::error_code error) {
    const std::lock_guard lock{mutex_};
    error_ = error;
    arrived_.notify_all();
}

void watch_reader::run() {
    std::size_t index = 0;
    std::size_t failed_in_turn = 0;
    while (!is_ended()) {
        if (read_stream(endpoints_[index])) {
            failed_in_turn = 0;
            pause();
            continue;
        }
        index = (index + 1) % endpoints_.size();
        ++failed_in_turn;
        if (failed_in_turn >= endpoints_.size()) {
            fail(errc::unavailable);
        }
    }
}

void watch_reader::pause() {
    std::unique_lock lock{mutex_};
    arrived_.wait_for(lock, reopen_pause, [this] { return is_stopped_ || error_; });
}

bool watch_reader::read_stream(const http::endpoint& place) {
    const http::request sent{
        "POST", watch_path, "", {http::no_interim()}, encode_watch(prefix_, read_from())};
    auto stream = http::response_stream::open(place, sent, timeout_);
    if (!stream || stream->head().status != http::status_ok) {
        return false;
    }
    bool has_answered = false;
    while (!is_ended()) {
        const auto line = stream->read_line(max_line_bytes);
        if (!line) {
            // A stream that said nothing at all counts as failed, so that it isn't reopened at once
            // for ever.
            return has_answered;
        }
        has_answered = true;
        if (!line->empty() && !accept_line(*line)) {
            return true;
        }
    }
    return true;
}

bool watch_reader::accept_line(const std::string& line) {
    const auto batch = decode_watch_line(line, read_from());
    if (!batch) {
        fail(batch.error());
        return false;
    }
    const std::lock_guard lock{mutex_};
    changes_.insert(changes_.end(), batch->changes.begin(), batch->changes.end());
    read_next_ = batch->next;
    if (!batch->changes.empty()) {
        arrived_.notify_all();
    }
    return true;
}

} // namespace cicadahatch::store::internal
