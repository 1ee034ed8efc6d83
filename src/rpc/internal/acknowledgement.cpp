#include "src/rpc/internal/acknowledgement.hpp"

#include "src/rpc/internal/token_list.hpp"

#include <nlohmann/json.hpp>

namespace cicadahatch::rpc::internal {

std::string encode_acknowledgement(std::uint64_t sequence) {
    std::string bytes;
    nlohmann::json::to_msgpack(nlohmann::json(sequence), bytes);
    return bytes;
}

std::optional<std::uint64_t> decode_acknowledgement(std::string_view bytes) {
    const auto tokens = read_tokens(bytes);
    if (!tokens || tokens->size() != 1) {
        return std::nullopt;
    }
    const auto* sequence = std::get_if<std::uint64_t>(&tokens->front());
    return sequence == nullptr ? std::nullopt : std::optional{*sequence};
}

} // namespace cicadahatch::rpc::internal
