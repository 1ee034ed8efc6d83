#pragma once

#include "src/core/identifiers.hpp"
#include "src/http/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cicadahatch::rpc {

/// \brief Asks a cell's home for a grant. Durations count from the moment of arrival.
struct acquire {
    request_id request;
    attempt_number attempt;
    cell_id cell;
    service_id service;
    model_id model;
    team_id team;
    rank work_rank = rank::deferrable;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t generated_tokens = 0; ///< tokens already sent to the caller by earlier attempts
    std::uint32_t expected_output_tokens = 0;
    std::chrono::microseconds waited{};                ///< since the caller's request arrived
    std::chrono::microseconds first_token_target{};    ///< zero takes the service's
    std::chrono::microseconds between_tokens_target{}; ///< zero takes the service's
    std::chrono::microseconds gives_up_after{};        ///< then the caller has left; zero: never
    std::vector<std::uint64_t> prefix_hashes; ///< each covers the prompt up to its block's end
    std::uint32_t prefix_block_tokens = 0;    ///< estimated tokens of such a block
    std::uint32_t max_output_tokens = 0;      ///< zero: not known
    std::uint64_t prompt_key = 0; ///< the same when a refused caller comes back; zero: not known
    /// Target of a caller that comes back, too late for the one above; zero: the same.
    std::chrono::microseconds late_first_token_target{};
    std::uint8_t level = 0; ///< order among the requests of its service and rank; 0 goes first
    std::vector<backend_id> avoided{};         ///< engines that the sender can't use now
    std::vector<std::uint64_t> prompt_parts{}; ///< hashes of the parts that other prompts may share
};

/// \brief The home's answer: what is reserved for the request.
struct granted {
    request_id request;
    attempt_number attempt;
    cell_id cell;
    std::uint64_t grant = 0; ///< number of the grant, unique at its home
    backend_id prefill_backend;
    backend_id decode_backend;
    std::uint32_t expected_cached_tokens = 0; ///< prefix in the prefill engine's memory
    std::uint32_t kv_pieces = 0;              ///< engine memory reserved at the decode engine
    std::chrono::microseconds predicted_first_token{}; ///< from the request's arrival
    std::chrono::microseconds predicted_between_tokens{};
};

/// \brief Why a home refuses a request; nothing of it has run there.
enum class refusal_reason : std::uint8_t {
    queue_full,
    target_unreachable,
    deadline_passed,
    too_large,
    no_engine,
    unknown_service,
    duplicate_request,
    retry_budget_spent,
    registration_pending, ///< a new home that gathers the live grants
    not_home,             ///< the daemon asked is not the home of that cell
    leaving,              ///< the daemon asked shuts down
    crashes_engines       ///< engines have crashed under prompts with the same part
};

/// \brief The home's answer: no grant.
struct refused {
    request_id request;
    attempt_number attempt;
    cell_id cell;
    refusal_reason reason = refusal_reason::queue_full;
    std::chrono::milliseconds retry_after{};
    daemon_id home; ///< with not_home: whom the refusing daemon takes for the home; may be empty
};

/// \brief Tells the home that the prefill is over and its result waits for the decode engine.
struct prefill_finished {
    request_id request;
    attempt_number attempt;
    cell_id cell;
    std::uint32_t cached_tokens = 0; ///< what the engine says it took from its cache
    std::chrono::microseconds took{};
};

/// \brief Tells the home that the decode engine has produced the first token.
struct first_token {
    request_id request;
    attempt_number attempt;
    cell_id cell;
    std::chrono::microseconds since_grant{};
    std::vector<std::uint64_t> prompt_parts{}; ///< see acquire
};

/// \brief How an attempt ended.
enum class release_outcome : std::uint8_t {
    completed,
    caller_left,
    prefill_failed,
    decode_failed,
    superseded,    ///< another attempt took its place
    no_room,       ///< the decode engine had less room than the home knew of
    engine_crashed ///< the decode engine's process ended while the stream was beginning
};

/// \brief Gives a grant back.
struct release {
    request_id request;
    attempt_number attempt;
    cell_id cell;
    release_outcome outcome = release_outcome::completed;
    std::uint32_t output_tokens = 0;
    std::chrono::microseconds between_tokens{}; ///< mean; zero if there were fewer than two
    std::vector<std::uint64_t> prompt_parts{};  ///< see acquire; with engine_crashed only
};

/// \brief The caller has left before there was an answer from the home.
struct withdraw {
    request_id request;
    attempt_number attempt;
    cell_id cell;
};

/// \brief How far a granted attempt has come.
enum class grant_stage : std::uint8_t { granted, prefilling, transferring, decoding };

/// \brief One live grant, as its holder or its home knows it.
struct grant_record {
    request_id request;
    attempt_number attempt;
    std::uint64_t grant = 0;
    daemon_id holder; ///< the daemon that holds the caller
    incarnation holder_incarnation;
    service_id service;
    team_id team;
    rank work_rank = rank::deferrable;
    grant_stage stage = grant_stage::granted;
    backend_id prefill_backend;
    backend_id decode_backend;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output_tokens = 0;
    std::uint32_t kv_pieces = 0;
    std::chrono::microseconds between_tokens_target{};
    std::chrono::milliseconds age{};
    std::uint32_t generated_tokens = 0;
    std::uint32_t max_output_tokens = 0;       ///< zero: not known
    std::vector<std::uint64_t> prompt_parts{}; ///< see acquire
};

/// \brief Tells a new home all live grants that the sender holds in a cell.
/// It is sent with an empty list too, so that the home knows the sender has answered.
struct register_grants {
    cell_id cell;
    std::vector<grant_record> grants;
    bool is_last = true; ///< no further message of this registration follows
};

/// \brief A home's changes since its last copy, sent to the next home in rendezvous order.
struct copy_grants {
    cell_id cell;
    std::uint64_t sequence = 0; ///< grows by one with each copy of this home
    bool is_whole = false;      ///< replaces everything copied before
    std::vector<grant_record> added;
    std::vector<request_id> removed;
};

/// \brief A home asks the daemons of its domain for their live grants in a cell.
struct request_registration {
    cell_id cell;
};

/// \brief What an owner says of itself, or others of it. See membership::is_newer().
enum class member_status : std::uint8_t { alive, leaving, suspect, dead, left };

/// \brief One member as it is spread.
struct member_record {
    daemon_id id;
    domain_id domain;
    http::endpoint place;
    incarnation started;
    std::uint64_t heartbeat = 0;
    member_status status = member_status::alive;
};

/// \brief The newest heartbeat that the sender knows of a member.
struct heartbeat_entry {
    daemon_id id;
    incarnation started;
    std::uint64_t heartbeat = 0;
};

/// \brief How long ago a member of a domain was last known to be reached.
struct domain_contact {
    domain_id domain;
    std::chrono::milliseconds age{};
};

/// \brief Kinds of values spread among daemons; the owner of a kind is a module above.
/// Cell digests stay within their failure domain, the others reach all domains.
enum class payload_kind : std::uint8_t {
    leaving_backend,        ///< key: backend server; version: its incarnation
    cell_digest,            ///< key: cell; version grows at the home
    configuration_revision, ///< key: empty; version: revision
    drain,                  ///< key: what is drained; version grows with each change
    domain_digest           ///< key: failure domain and model; spread to all domains
};

/// \brief A spread value. Of two with one kind and key the higher version stays.
struct payload {
    payload_kind kind = payload_kind::cell_digest;
    std::string key;
    std::uint64_t version = 0;
    std::string value; ///< opaque
};

/// \brief Heartbeat of the sender with the news that it passes on.
struct gossip {
    member_record self;
    std::vector<heartbeat_entry> heartbeats;
    std::vector<domain_contact> contacts;
    std::vector<member_record> members;
    std::vector<payload> payloads;
    std::uint32_t table_hash = 0; ///< with heartbeats, else zero
};

/// \brief Compares tables: the receiver answers with a sync_reply if its hash is another.
struct sync_request {
    member_record self;
    std::uint32_t table_hash = 0;
};

/// \brief A part of the sender's tables.
struct sync_reply {
    std::uint32_t table_hash = 0;
    bool wants_reply = false; ///< the receiver is asked for its tables in turn
    std::vector<member_record> members;
    std::vector<payload> payloads;
};

/// \brief Asks a peer for the accepted configuration, if it has a newer one.
struct fetch_configuration {
    revision newer_than;
};

/// \brief A piece of an accepted configuration.
struct configuration_shard {
    revision accepted;
    std::string name;
    std::uint32_t index = 0;
    std::uint32_t count = 1; ///< shards of this revision
    std::string value;       ///< opaque
};

/// \brief Tells a home that an engine of its cell has said that it leaves.
struct engine_leaving {
    cell_id cell;
    backend_id backend;
    incarnation started; ///< of the process that has said so
};

/// \brief A change of one key of the store.
struct registry_change {
    std::string key;
    std::string value; ///< empty if erased
    revision modified;
    bool is_erased = false;
};

/// \brief What the sender has just read from the store; see discovery::store_delta.
struct registry_look {
    revision after;
    revision through;
    std::vector<registry_change> changes;
    std::chrono::milliseconds settling{};
};

/// \brief A part of prompts that engines have crashed with; see cells::suspect_part.
struct crashing_part {
    std::uint64_t part = 0;
    std::uint32_t crashes = 0;
    std::vector<std::uint64_t> common;
    std::chrono::milliseconds until_trial{};
};

/// \brief All that a home knows of parts that crash engines. The daemons pass it to a new home.
struct crashing_parts {
    std::vector<crashing_part> parts;
};

/// \brief A subscriber's clock reading, which the publisher returns with its next publications.
struct registry_ping {
    std::uint64_t stamp = 0; ///< nanoseconds of a clock that only the subscriber knows
};

/// \brief Age of what the publisher has read, with the subscriber's newest stamp. What was accepted
/// this long before the stamp is contained in the publications so far, however late they arrive.
struct registry_age {
    std::uint64_t stamp = 0;
    std::chrono::milliseconds age{}; ///< since the published poll of the store began
};

/// \brief Asks the home of the usage accounts for units of a team.
struct usage_request {
    std::uint64_t ticket = 0; ///< returned in the answer
    team_id team;
    std::uint64_t units = 0; ///< granted whole or not at all
    std::uint64_t extra = 0; ///< granted in advance if the team has room
};

/// \brief Answer to a usage_request.
struct usage_answer {
    std::uint64_t ticket = 0;
    bool is_granted = false;
    bool is_final = false;                   ///< the request exceeds the cap at any time
    bool is_leaving = false;                 ///< the daemon asked shuts down; nothing was decided
    std::uint64_t units = 0;                 ///< granted, with those in advance
    std::chrono::milliseconds retry_after{}; ///< if not granted and not final
};

/// \brief Gives units back that were granted and not used.
struct usage_return {
    team_id team;
    std::uint64_t units = 0;
};

/// \brief Tells the home of the usage accounts that the sender relies on it.
struct usage_presence {
    std::uint32_t reserved = 0;
};

/// \brief Any message. A message's number on the wire is its place here: append at the end only.
using message =
    std::variant<acquire, granted, refused, prefill_finished, first_token, release, withdraw,
                 register_grants, copy_grants, request_registration, gossip, sync_request,
                 sync_reply, fetch_configuration, configuration_shard, engine_leaving,
                 registry_look, crashing_parts, registry_ping, registry_age, usage_request,
                 usage_answer, usage_return, usage_presence>;

} // namespace cicadahatch::rpc
