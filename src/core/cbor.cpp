#include "src/core/cbor.hpp"

#include <cstdint>

namespace cicadahatch {

namespace {

using nlohmann::json;

constexpr int max_depth = 16;

/// Accepts everything but deep nesting and sizes larger than the input.
class shape_check final : public json::json_sax_t {
public:
    explicit shape_check(std::size_t input_bytes) : input_bytes_(input_bytes) {}

    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }
    bool start_object(std::size_t elements) override { return enter(elements); }
    bool key(string_t& /*value*/) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t elements) override { return enter(elements); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t /*position*/, const std::string& /*last*/,
                     const nlohmann::detail::exception& /*error*/) override {
        return false;
    }

private:
    static constexpr std::size_t unknown_size = SIZE_MAX;

    bool enter(std::size_t elements) {
        ++depth_;
        const bool fits = elements == unknown_size || elements <= input_bytes_;
        return fits && depth_ <= max_depth;
    }
    bool leave() {
        --depth_;
        return true;
    }

    std::size_t input_bytes_;
    int depth_ = 0;
};

} // namespace

std::optional<json> decode_cbor(std::string_view bytes) {
    shape_check checked{bytes.size()};
    if (!json::sax_parse(bytes.begin(), bytes.end(), &checked, json::input_format_t::cbor)) {
        return std::nullopt;
    }
    json value = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

std::string encode_cbor(const json& value) {
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

} // namespace cicadahatch
