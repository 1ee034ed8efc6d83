#pragma once

#include "cicadahatch/core"
#include "cicadahatch/http"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace cicadahatch::test_support {

/// \brief How the stand-in of the platform's store answers.
enum class store_mode : std::uint8_t {
    normal,
    busy,         ///< 503: nothing was done
    unresponsive, ///< takes calls and never answers
    lost_reply,   ///< carries calls out and closes instead of answering
    compacted     ///< watches get 410
};

/// \brief How a stand-in engine answers.
struct engine_script {
    enum class plain_answer : std::uint8_t {
        normal,
        not_run,        ///< 503 with the statement that it has not run
        plain_503,      ///< 503 without it
        error_500,      ///< its own failure
        reset,          ///< runs it and resets the connection
        unsigned_200,   ///< a success without a signature
        cut_short,      ///< closes before the announced length
        foreign_answer, ///< an answer to another request first, then its own
        garbage,        ///< bytes that are no answer
        endless_head,   ///< a head without an end
        endless_body,   ///< a body without an end
        hang            ///< never answers
    };
    plain_answer plain = plain_answer::normal;
    bool reports_leaving = false; ///< says so in every answer, whatever its entry says
    unsigned retry_after_s = 0;   ///< stated where it turns a request away; zero: not stated
    bool duplicates_hold_answers = false; ///< the copy comes late, where the next answer is due
    bool trickles_first_event =
        false;                      ///< a byte now and then in place of the rest of the first event
    bool has_endless_event = false; ///< an event without an end in place of the first
    bool has_capacity = true;       ///< else places are refused
    bool fails_prefill = false;
    bool answers_421 = false; ///< 421: it has restarted, or its role is another one
    unsigned events = 4;      ///< of a stream
    unsigned reset_after_events =
        0; ///< resets the connection after so many events, once; zero: never
    bool resets_within_event = false;
    std::chrono::milliseconds event_gap{5};
};

/// \brief A request that a stand-in engine has read.
struct received_request {
    std::string engine;
    std::string method;
    std::string target;
    http::header_list head;
    std::string body;
};

/// \brief Small stand-in of the users' platform: its store and any number of engines, on a thread
/// of their own. All functions may be called by the test's thread.
class platform_stub {
public:
    platform_stub();
    platform_stub(const platform_stub&) = delete;
    platform_stub& operator=(const platform_stub&) = delete;
    platform_stub(platform_stub&&) = delete;
    platform_stub& operator=(platform_stub&&) = delete;
    ~platform_stub();

    [[nodiscard]] http::endpoint store() const;

    /// \brief Starts an engine and registers it.
    /// \param stage "prefill", "decode", or empty for a plain server
    void add_engine(const std::string& id, const std::string& service, const std::string& stage);
    void set_script(const std::string& id, const engine_script& script);
    /// \brief Writes the engine's entry anew with another state.
    void set_state(const std::string& id, const std::string& state);
    void erase_entry(const std::string& id);
    /// \brief Writes any value, as another writer would.
    void put(const std::string& key, const std::string& value);
    void set_store_mode(store_mode mode);

    [[nodiscard]] std::vector<received_request> seen() const;
    /// \returns how many requests of a target an engine has read; empty id: all engines
    [[nodiscard]] std::size_t count(const std::string& id, const std::string& target) const;
    /// \returns runs whose connection was closed by the daemon before their end
    [[nodiscard]] std::size_t aborted_requests() const;
    [[nodiscard]] std::size_t store_calls() const;

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

/// \returns a configuration with the routes of the tests: /plain/ (idempotent, two attempts),
/// /book/ (non-idempotent), /stream/ (streaming), /resume/ (streaming, resumable, two attempts)
[[nodiscard]] std::string sample_platform_configuration(std::uint64_t version);

/// \returns the value of a header, or an empty text
[[nodiscard]] std::string header_value(const received_request& seen, const std::string& name);

} // namespace cicadahatch::test_support
