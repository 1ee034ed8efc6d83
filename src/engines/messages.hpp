#pragma once

#include "src/core/identifiers.hpp"
#include "src/http/endpoint.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::engines {

/// \brief Identifies one attempt of a request at the engines.
struct attempt_id {
    request_id request;
    attempt_number number;
};

/// \brief Requests a prefill engine to compute and retain the KV cache of a prompt.
struct prefill_request {
    attempt_id attempt;
    model_id model;
    std::string prompt;
    std::string generated; ///< text already sent to the caller, when a stream is resumed
    rank priority = rank::deferrable;
};

/// \brief A KV cache retained by a prefill engine.
struct prefill_reply {
    std::string kv_handle;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0; ///< prompt tokens served from the prefix cache
};

/// \brief Requests a decode engine to import a KV cache and stream tokens.
struct decode_request {
    attempt_id attempt;
    model_id model;
    http::endpoint kv_source;
    std::string kv_handle;
    std::uint64_t position = 0; ///< position of the first token to stream
    std::uint32_t max_tokens = 0;
    rank priority = rank::deferrable;
};

/// \brief One token of a stream, or the end of the stream.
struct frame {
    attempt_number attempt;
    std::uint64_t position = 0;
    std::string text;
    bool is_end = false;
};

/// \brief Type of an order.
enum class order_kind : std::uint8_t { load_model, load_adapter, set_role };

/// \brief An order to an engine.
struct order_request {
    order_kind kind = order_kind::load_model;
    model_id model;
    std::string version;
    std::string adapter;                      ///< for load_adapter
    backend_role role = backend_role::decode; ///< for set_role
    fencing_number fencing;
};

/// \brief A model loaded on an engine.
struct loaded_model {
    model_id id;
    std::string version;
    std::vector<std::string> adapters;
};

/// \brief State and load reported by a backend server.
struct load_report {
    incarnation started;
    std::string role;
    bool is_leaving = false;
    std::uint32_t running = 0;
    std::uint32_t slots = 0;
    std::uint32_t kv_pieces_total = 0;
    std::uint32_t kv_pieces_free = 0;
    std::uint32_t tokens_per_piece = 0;
    double prefill_tokens_per_second = 0;
    std::uint64_t cache_sequence = 0;
    std::optional<std::vector<loaded_model>> models; ///< absent if the server does not report them
};

/// \brief Prompt prefixes cached by an engine.
struct cached_prefix_set {
    std::uint64_t sequence = 0; ///< number of cache changes so far
    std::vector<std::uint64_t> prefix_hashes;
};

} // namespace cicadahatch::engines
