#pragma once

#include "src/http/endpoint.hpp"
#include "src/store/key_value_store.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

namespace cicadahatch::store::internal {

/// \brief Reads one watch stream on a thread of its own and keeps its changes until taken.
///
/// A blocking read can't be interrupted from outside and returns only with data or after
/// http::max_body_silence. So the thread shares ownership of this object and is never joined:
/// stop() lets it end by itself, and it touches nothing else.
class watch_reader : public std::enable_shared_from_this<watch_reader> {
public:
    /// \param timeout longest wait for the stream's head
    [[nodiscard]] static std::shared_ptr<watch_reader> start(std::vector<http::endpoint> endpoints,
                                                             std::string prefix, revision from,
                                                             std::chrono::milliseconds timeout);

    /// \returns the revision from which the next call of take() goes on
    [[nodiscard]] revision next() const;

    /// \brief Waits for changes.
    /// \returns all changes read so far, or the error that ended the reading
    [[nodiscard]] result<change_batch> take(std::chrono::milliseconds wait);

    void stop();

private:
    watch_reader(std::vector<http::endpoint> endpoints, std::string prefix, revision from,
                 std::chrono::milliseconds timeout);
    void run();
    void pause();
    /// \returns whether a stream was opened at all
    bool read_stream(const http::endpoint& place);
    bool accept_line(const std::string& line);
    void fail(std::error_code error);
    [[nodiscard]] bool is_ended() const;
    [[nodiscard]] revision read_from() const;

    const std::vector<http::endpoint> endpoints_;
    const std::string prefix_;
    const std::chrono::milliseconds timeout_;
    mutable std::mutex mutex_;
    std::condition_variable arrived_;
    std::vector<change> changes_;
    revision taken_next_; ///< where take() goes on
    revision read_next_;  ///< where the stream goes on
    std::error_code error_;
    bool is_stopped_ = false;
};

} // namespace cicadahatch::store::internal
