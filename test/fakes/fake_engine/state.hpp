#pragma once

#include "cicadahatch/core"
#include "cicadahatch/http"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace fake_engine {

/// \brief What the stand-in does wrong on purpose.
enum class fault {
    none,
    hang,           ///< accepts calls and never answers
    refuse,         ///< answers 503 without doing anything
    die_mid_stream, ///< closes each stream after a few tokens
    repeat_frames,  ///< sends each frame twice
    reorder_frames, ///< swaps each pair of neighbouring frames
    run_then_close  ///< does a plain call's work and closes without an answer
};

struct options {
    cicadahatch::http::endpoint listen{"127.0.0.1", 0};
    std::string role = "plain";
    std::string model = "model";
    std::string version;
    double prefill_tokens_per_second = 20'000;
    std::chrono::milliseconds token_interval{20};
    std::chrono::milliseconds kv_retention{800};
    std::chrono::milliseconds plain_delay{0};
    std::chrono::milliseconds order_time{0};
    std::chrono::milliseconds connection_idle{cicadahatch::http::default_receive_timeout};
    int slots = 20;
    int kv_pieces = 4096;
    int threads = 256; ///< workers of the listener
    int tokens_per_piece = 16;
    bool checks_fencing = true;
    std::chrono::milliseconds transfer_time{0};
};

/// A piece of engine memory held for a request.
struct holding {
    std::string handle;
    std::string request;
    std::uint32_t attempt = 0;
    std::string prompt;
    int pieces = 0;
    bool is_decoding = false;
    cicadahatch::time_point expires;
};

/// One thing that the stand-in did, for the tests' comparison with what callers were told.
struct run_record {
    std::string kind; ///< prefill, decode or plain
    std::string request;
    std::string key;
    std::uint32_t attempt = 0;
    int tokens = 0;
    bool is_used = false; ///< prefill: its result was taken up
};

/// One order that the stand-in carried out or refused, with its own clock's times.
struct order_record {
    std::string text; ///< the order's JSON
    cicadahatch::time_point began;
    cicadahatch::time_point ended; ///< as began while it is under way
    bool is_refused = false;
};

/// State shared by the handlers; the mutex guards all of it.
struct state {
    options configured;
    cicadahatch::http::endpoint place;
    std::mutex mutex;
    std::condition_variable changed;
    std::atomic<fault> current_fault{fault::none};
    bool is_leaving = false;
    int cancels_to_lose = 0; ///< cancels that are still closed without effect
    int transfers = 0;       ///< KV transfers under way
    std::uint64_t incarnation = 0;
    std::uint64_t highest_fencing = 0;
    std::uint64_t next_handle = 1;
    std::uint64_t cache_sequence = 0;
    std::map<std::string, holding> holdings;        ///< by handle
    std::map<std::string, std::uint32_t> cancelled; ///< request → highest cancelled attempt
    std::deque<std::string> cached_prefixes;
    std::vector<run_record> records;
    std::vector<std::string> adapters;
    std::deque<order_record> orders;
};

/// \returns the token at a position of the answer to a prompt: the same on every engine
[[nodiscard]] std::string token_at(const std::string& prompt, std::uint64_t position);

void handle_prefill(state& engine, cicadahatch::http::exchange& call);
void handle_export(state& engine, cicadahatch::http::exchange& call);
void handle_decode(state& engine, cicadahatch::http::exchange& call);
void handle_cancel(state& engine, cicadahatch::http::exchange& call);
void handle_load(state& engine, cicadahatch::http::exchange& call);
void handle_cache_events(state& engine, cicadahatch::http::exchange& call);
void handle_order(state& engine, cicadahatch::http::exchange& call);
void handle_control(state& engine, cicadahatch::http::exchange& call);
void handle_record(state& engine, cicadahatch::http::exchange& call);
void handle_plain(state& engine, cicadahatch::http::exchange& call);

/// Drops holdings whose time is over; call with the mutex held.
void expire_holdings(state& engine);
/// \returns whether the attempt was cancelled; call with the mutex held
[[nodiscard]] bool is_cancelled(const state& engine, const std::string& request,
                                std::uint32_t attempt);
/// \returns pieces not held; call with the mutex held
[[nodiscard]] int free_pieces(const state& engine);

} // namespace fake_engine
