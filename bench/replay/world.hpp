#pragma once

#include "bench/replay/trace.hpp"

#include <functional>
#include <list>
#include <optional>
#include <queue>

namespace cicadahatch::replay {

/// \brief Where a request stands at the engines.
enum class progress : std::uint8_t {
    waiting,    ///< at a daemon
    queued,     ///< at a prefill engine
    prefilling, ///
    prefilled,  ///< KV kept, waiting for a slot
    moving,     ///< slot taken, KV on its way
    decoding,   ///
    finished,   ///
    refused,    ///
    failed,     ///
    cancelled   ///
};

/// \brief A request with everything that happened to it.
struct request_row {
    arrival sent;
    progress state = progress::waiting;
    std::size_t prefill = 0;
    std::size_t decode = 0;
    std::uint64_t attempt = 0; ///< events of an older attempt are void
    time_point prefill_began;
    time_point prefilled_at;
    time_point first_token_at;
    time_point last_token_at;
    std::uint32_t tokens = 0;
    std::uint32_t tries = 0;
};

struct prefill_row {
    std::list<std::size_t> queued;
    bool is_busy = false;
    bool is_dead = false;
    std::size_t running = 0;
    time_point link_free_at;
};

struct decode_row {
    std::vector<std::size_t> streams; ///< decoding
    std::size_t taken_slots = 0;      ///< decoding or moving
    std::uint32_t taken_pieces = 0;
    std::list<std::size_t> pending; ///< prefilled requests that wait for a slot
    bool is_stepping = false;
    bool is_dead = false;
    std::optional<std::size_t> as_prefill; ///< its row among the prefill engines, after a change
};

/// \brief A load report of every engine, as all routers get it.
struct world_report {
    time_point taken_at;
    std::uint64_t sequence = 0;
    std::vector<duration> prefill_backlog;
    std::vector<std::uint32_t> streams;
    std::vector<std::uint32_t> pieces;
    std::vector<bool> is_lost; ///< by engine, first the prefill engines of that time
};

struct world;

/// \brief What a router does with what happens. Unset functions do nothing.
struct router {
    std::string name;
    bool is_priority_honoured = true; ///< prefill engines take urgent work first
    std::function<void(world&, std::size_t)> arrived;
    std::function<void(world&, std::size_t)> prefilled; ///< chooses the decode engine if needed
    std::function<void(world&, std::size_t)> began;     ///< first token
    std::function<void(world&, std::size_t)> ended;     ///< finished or cancelled
    std::function<void(world&, std::size_t, bool is_prefill)> failed; ///< engine died or KV lost
    std::function<void(world&, const world_report&)> reported;
    std::function<void(world&)> tick;
};

/// \brief A small arithmetic model of the engines of one deployment.
struct world {
    explicit world(const deployment& played, const scenario& under, std::uint64_t seed);

    struct event {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    deployment fleet;
    scenario played;
    random_source random;
    time_point now = replay_begin;
    std::vector<request_row> requests;
    std::vector<prefill_row> prefills;
    std::vector<decode_row> decodes;
    std::priority_queue<event> events;
    std::uint64_t next_order = 0;
    std::uint64_t next_report = 1;
    duration prefill_done{0};   ///< all prefill work
    duration prefill_wasted{0}; ///< of it, thrown away before use
    router* routes = nullptr;
};

/// \brief Runs the event at now + wait.
void after(world& in, duration wait, std::function<void()> run);

/// \brief Starts a request's prefill; the engine queues it if it is busy.
void start_prefill(world& in, std::size_t number, std::size_t prefill);

/// \brief Moves a prefilled request to a decode engine as soon as that has a slot.
void send_to_decode(world& in, std::size_t number, std::size_t decode);

void refuse(world& in, std::size_t number);

/// \brief Turns a decode engine that has no streams into a prefill engine.
/// \param changed called role_change_time later
void change_to_prefill(world& in, std::size_t decode, std::function<void()> changed);

/// \brief Plays a whole trace.
void play(world& in, router& routes, const std::vector<arrival>& trace);

} // namespace cicadahatch::replay
