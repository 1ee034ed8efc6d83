#pragma once

#include "src/core/identifiers.hpp"
#include "src/http/endpoint.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::engines {

/// \brief Names one try of one request at the engines.
struct attempt_id {
    request_id request;
    attempt_number number;
};

/// \brief Asks a prefill engine to compute and keep a prompt's KV cache.
struct prefill_request {
    attempt_id attempt;
    model_id model;
    std::string prompt;
    std::string generated; ///< text already answered, when a stream is resumed
    rank priority = rank::deferrable;
};

/// \brief A kept KV cache.
struct prefill_reply {
    std::string kv_handle;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0; ///< part of the prompt that needed no work
};

/// \brief Asks a decode engine to import a KV cache and to stream tokens.
struct decode_request {
    attempt_id attempt;
    model_id model;
    http::endpoint kv_source;
    std::string kv_handle;
    std::uint64_t position = 0; ///< first token wanted
    std::uint32_t max_tokens = 0;
    rank priority = rank::deferrable;
};

/// \brief One token of a stream, or its end.
struct frame {
    attempt_number attempt;
    std::uint64_t position = 0;
    std::string text;
    bool is_end = false;
};

/// \brief What an order makes an engine do.
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

/// \brief A model that an engine holds.
struct loaded_model {
    model_id id;
    std::string version;
    std::vector<std::string> adapters;
};

/// \brief What a backend server tells about itself.
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
    std::optional<std::vector<loaded_model>> models; ///< absent: the server does not tell
};

/// \brief The prompt prefixes that an engine holds.
struct cached_prefix_set {
    std::uint64_t sequence = 0; ///< number of changes up to this content
    std::vector<std::uint64_t> prefix_hashes;
};

} // namespace cicadahatch::engines
