#pragma once

#include "cicadahatch/core"
#include "cicadahatch/http"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace cicadahatch::test_support {

/// \brief How the stub of the platform's store responds.
enum class store_mode : std::uint8_t {
    normal,
    busy,          ///< 503: nothing was done
    unresponsive,  ///< accepts calls and never responds
    lost_reply,    ///< executes calls and closes the connection without a response
    compacted,     ///< watches get 410
    endless_reply, ///< replies have an endless chunk extension
    interim_reply  ///< an interim response (RFC 9110, 15.2) before each reply
};

/// \brief How a stub engine responds.
struct engine_script {
    enum class plain_answer : std::uint8_t {
        normal,
        not_run,                 ///< 503 stating that it was not executed
        plain_503,               ///< 503 without that statement
        error_500,               ///< error of the server itself
        reset,                   ///< executes it and resets the connection
        unsigned_200,            ///< success without a signature
        cut_short,               ///< closes before the announced length
        foreign_answer,          ///< a response to another request before its own
        garbage,                 ///< bytes that are not an HTTP response
        endless_head,            ///< endless head
        endless_body,            ///< endless body
        endless_chunk_size,      ///< endless line with the size of a chunk
        endless_chunk_extension, ///< endless extension of a chunk
        endless_trailer_field,   ///< endless field after the last chunk
        endless_trailer,         ///< endless number of fields after the last chunk
        hang                     ///< never responds
    };
    plain_answer plain = plain_answer::normal;
    /// Bytes of a plain answer or of the head of a stream after which the engine closes the
    /// connection; zero: sends all.
    std::size_t cut_after_bytes = 0;
    /// Time from the request to a plain answer.
    std::chrono::milliseconds plain_delay{0};
    bool reports_leaving = false;         ///< in every response, whatever its entry states
    unsigned retry_after_s = 0;           ///< sent with refusals; zero: not sent
    double request_limit = 0;             ///< requests a second, in every response; zero: none
    bool duplicates_hold_answers = false; ///< the copy is sent before the next response
    bool trickles_first_event = false;    ///< single bytes instead of the first event
    bool has_endless_event = false;       ///< an endless event instead of the first
    bool has_endless_extension = false;   ///< an endless chunk extension instead of the first event
    bool has_capacity = true;             ///< else holds are refused
    bool fails_prefill = false;
    bool answers_421 = false; ///< 421, as after a restart or a role change
    unsigned events = 4;      ///< of a stream
    unsigned reset_after_events =
        0; ///< resets the connection once after this many events; zero: never
    bool resets_within_event = false;
    std::chrono::milliseconds event_gap{5};
    std::chrono::milliseconds first_event_delay{5};
    unsigned silent_before_event = 0; ///< pauses before this event; zero: never
    std::chrono::milliseconds silence{0};
    bool is_unresponsive = false;   ///< answers no request
    unsigned interim_responses = 0; ///< sent before each answer
    /// How the body of a stream ends.
    enum class stream_framing : std::uint8_t {
        chunked,
        until_close,       ///< ends with the connection
        until_close_empty, ///< the same, without any event
        until_close_cut    ///< the same, within an event
    };
    stream_framing framing = stream_framing::chunked;
    bool fails_decode = false; ///< error 500 with a text in place of a stream
    /// A refusal of a hold, without an identifier, once more before the next response.
    bool repeats_hold_refusal = false;
    /// Part of a prompt on which a decode engine crashes before its first event; empty: none.
    std::string crash_part;
    std::chrono::milliseconds crash_duration{300}; ///< until its process is back
};

/// \brief A request received by a stub engine.
struct received_request {
    std::string engine;
    std::string method;
    std::string target;
    http::header_list head;
    std::string body;
    std::chrono::steady_clock::time_point at;
};

/// \brief Stub of the users' platform: its store and any number of engines, on a thread of their
/// own. All functions may be called by the test's thread.
class platform_stub {
public:
    platform_stub();
    platform_stub(const platform_stub&) = delete;
    platform_stub& operator=(const platform_stub&) = delete;
    platform_stub(platform_stub&&) = delete;
    platform_stub& operator=(platform_stub&&) = delete;
    ~platform_stub();

    [[nodiscard]] http::endpoint store() const;
    /// \returns another address of the store, from which clients can be cut off
    [[nodiscard]] http::endpoint severable_store() const;
    /// \brief Resets the connections to the severable address; new ones are reset as well.
    void sever_store(bool is_severed);
    /// \brief Paces replies at the severable address, as a narrow link does; zero: not paced.
    void set_severable_rate(std::size_t bytes_per_second);

    /// \brief Starts an engine and registers it.
    /// \param stage "prefill", "decode", or empty for a plain server
    void add_engine(const std::string& id, const std::string& service, const std::string& stage);
    /// \brief Writes the entry of a server that is not one of the stub's.
    void register_server(const std::string& id, const std::string& service,
                         const std::string& stage, const http::endpoint& place);
    void set_script(const std::string& id, const engine_script& script);
    /// \brief Rewrites the engine's entry with another state.
    void set_state(const std::string& id, const std::string& state);
    void erase_entry(const std::string& id);
    /// \brief Ends the engine's process; it is back after the crash duration of its script.
    void crash(const std::string& id);
    /// \returns the times at which engines crashed
    [[nodiscard]] std::vector<std::chrono::steady_clock::time_point> crashes() const;
    /// \returns the number of keys in the store with a prefix
    [[nodiscard]] std::size_t count_keys(const std::string& prefix) const;
    /// \brief Erases all keys with a lease, as if the leases had expired.
    void expire_leases();
    /// \brief Writes any value, as another writer would.
    void put(const std::string& key, const std::string& value);
    void set_store_mode(store_mode mode);
    /// \brief Keeps a copy of the store's data for restore_store(). From now on the store states
    /// its generation.
    void copy_store();
    /// \brief Resets all connections of the store, which comes back from the copy: keys, leases and
    /// revisions are those of the copy, and the generation is the next.
    void restore_store();
    /// \brief Has the store state this text as its generation; empty: none.
    void state_generation(const std::string& text);

    [[nodiscard]] std::vector<received_request> seen() const;
    /// \returns the number of requests with a target prefix that an engine received; empty id: all
    /// engines
    [[nodiscard]] std::size_t count(const std::string& id, const std::string& target) const;
    /// \returns the number of requests whose connection the daemon closed before their end
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
