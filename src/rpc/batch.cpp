#include "src/rpc/batch.hpp"

#include "src/rpc/error.hpp"
#include "src/rpc/internal/batch_json.hpp"
#include "src/rpc/internal/field_reader.hpp"

#include <array>
#include <utility>

namespace cicadahatch::rpc {

namespace {

using internal::field_reader;

template <std::size_t Kind>
bool read_kind(field_reader& reader, std::size_t size, std::vector<message>& messages) {
    std::variant_alternative_t<Kind, message> typed{};
    if (!reader.read_fields(typed, size)) {
        return false;
    }
    messages.emplace_back(std::move(typed));
    return true;
}

using kind_reader = bool (*)(field_reader&, std::size_t, std::vector<message>&);

template <std::size_t... Kinds>
constexpr auto make_kind_readers(std::index_sequence<Kinds...>) {
    return std::array<kind_reader, sizeof...(Kinds)>{read_kind<Kinds>...};
}

constexpr auto kind_readers =
    make_kind_readers(std::make_index_sequence<std::variant_size_v<message>>{});

bool read_message(field_reader& reader, std::vector<message>& messages) {
    std::size_t size = 0;
    std::uint32_t kind = 0;
    if (!reader.enter(size) || size == 0 || !reader.read(kind)) {
        return false;
    }
    if (kind >= kind_readers.size()) {
        return reader.skip(size - 1);
    }
    return kind_readers[kind](reader, size - 1, messages);
}

} // namespace

std::string encode_batch(const batch& sent) {
    std::string bytes;
    nlohmann::json::to_msgpack(internal::batch_json(sent), bytes);
    return bytes;
}

result<batch> decode_batch(std::string_view bytes) {
    auto tokens = internal::read_tokens(bytes);
    if (!tokens) {
        return tl::unexpected(tokens.error());
    }
    field_reader reader{std::move(*tokens)};
    batch decoded;
    std::size_t size = 0;
    std::size_t count = 0;
    if (!reader.enter(size) || size < 2 || !reader.read(decoded.sequence) || !reader.enter(count)) {
        return failure(errc::malformed);
    }
    if (count > max_batch_messages) {
        return failure(errc::too_large);
    }
    for (std::size_t index = 0; index < count; ++index) {
        if (!read_message(reader, decoded.messages)) {
            return failure(errc::malformed);
        }
    }
    return decoded;
}

} // namespace cicadahatch::rpc
