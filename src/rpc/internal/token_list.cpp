#include "src/rpc/internal/token_list.hpp"

#include "src/rpc/constants.hpp"
#include "src/rpc/error.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace cicadahatch::rpc::internal {

namespace {

/// batch, messages, message, list, structure, list or endpoint, with room for newer builds
constexpr std::size_t max_depth = 10;
constexpr std::size_t max_tokens = 400'000;

/// Collects the parser's events; returning false ends the parse, so a hostile depth is never
/// followed.
class token_collector final : public nlohmann::json_sax<nlohmann::json> {
public:
    bool null() override { return add(std::monostate{}); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); }
    bool number_unsigned(number_unsigned_t value) override { return add(value); }
    bool number_float(number_float_t, const string_t&) override { return add(std::monostate{}); }
    bool string(string_t& value) override { return add(std::move(value)); }
    bool binary(binary_t& value) override { return add(std::string{value.begin(), value.end()}); }
    bool start_object(std::size_t) override { return false; }
    bool key(string_t&) override { return false; }
    bool end_object() override { return false; }

    bool start_array(std::size_t elements) override {
        ++depth_;
        return depth_ <= max_depth && add(array_start{elements});
    }

    bool end_array() override {
        --depth_;
        return true;
    }

    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
        return false;
    }

    [[nodiscard]] token_list take() { return std::move(tokens_); }

private:
    template <class Value>
    bool add(Value&& value) {
        tokens_.emplace_back(std::forward<Value>(value));
        return tokens_.size() <= max_tokens;
    }

    token_list tokens_;
    std::size_t depth_ = 0;
};

} // namespace

result<token_list> read_tokens(std::string_view bytes) {
    if (bytes.size() > max_batch_bytes) {
        return failure(errc::too_large);
    }
    token_collector collector;
    const bool is_whole = nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &collector,
                                                    nlohmann::json::input_format_t::msgpack);
    if (!is_whole) {
        return failure(errc::malformed);
    }
    return collector.take();
}

} // namespace cicadahatch::rpc::internal
