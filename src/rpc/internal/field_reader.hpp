#pragma once

#include "src/core/constants.hpp"
#include "src/rpc/constants.hpp"
#include "src/rpc/internal/message_fields.hpp"
#include "src/rpc/internal/token_list.hpp"

#include <limits>
#include <utility>

namespace cicadahatch::rpc::internal {

/// \brief Reads fields from a token list. Every function returns false at what does not fit;
/// the object read into is then half filled and must be dropped.
class field_reader {
public:
    explicit field_reader(token_list tokens) : tokens_(std::move(tokens)) {}

    /// \brief Enters an array.
    [[nodiscard]] bool enter(std::size_t& size) {
        const array_start* start = next<array_start>();
        if (start == nullptr) {
            return false;
        }
        size = start->size;
        return true;
    }

    /// \brief Passes over values with everything inside them.
    [[nodiscard]] bool skip(std::size_t values) {
        std::size_t remaining = values;
        while (remaining > 0) {
            if (position_ >= tokens_.size()) {
                return false;
            }
            const auto* start = std::get_if<array_start>(&tokens_[position_]);
            remaining += start == nullptr ? 0 : start->size;
            --remaining;
            ++position_;
        }
        return true;
    }

    [[nodiscard]] bool read(bool& value) {
        const bool* found = next<bool>();
        value = found != nullptr && *found;
        return found != nullptr;
    }

    template <class T>
    requires(std::is_unsigned_v<T> && !std::is_same_v<T, bool>) [[nodiscard]] bool read(T& value) {
        const std::uint64_t* found = next<std::uint64_t>();
        if (found == nullptr || *found > std::numeric_limits<T>::max()) {
            return false;
        }
        value = static_cast<T>(*found);
        return true;
    }

    [[nodiscard]] bool read(std::string& value) { return read_text(value, max_opaque_bytes); }

    template <class Tag>
    [[nodiscard]] bool read(name_id<Tag>& id) {
        std::string text;
        if (!read_text(text, max_name_bytes)) {
            return false;
        }
        id = name_id<Tag>{std::move(text)};
        return true;
    }

    template <class Tag, class Value>
    [[nodiscard]] bool read(number_id<Tag, Value>& id) {
        Value value{};
        const bool is_read = read(value);
        id = number_id<Tag, Value>{value};
        return is_read;
    }

    /// Durations are not negative and short enough to be added up in nanoseconds.
    template <class Period>
    [[nodiscard]] bool read(std::chrono::duration<std::int64_t, Period>& span) {
        using span_type = std::chrono::duration<std::int64_t, Period>;
        constexpr std::chrono::hours longest{24 * 365};
        std::uint64_t count = 0;
        if (!read(count) || count > static_cast<std::uint64_t>(span_type{longest}.count())) {
            return false;
        }
        span = span_type{static_cast<std::int64_t>(count)};
        return true;
    }

    template <class T>
    requires std::is_enum_v<T>
    [[nodiscard]] bool read(T& enumerator) {
        std::underlying_type_t<T> number{};
        if (!read(number) ||
            number > static_cast<std::underlying_type_t<T>>(last_enumerator(tag<T>{}))) {
            return false;
        }
        enumerator = static_cast<T>(number);
        return true;
    }

    template <class T>
    [[nodiscard]] bool read(std::vector<T>& list) {
        std::size_t size = 0;
        if (!enter(size) || size > max_list_entries) {
            return false;
        }
        for (std::size_t index = 0; index < size; ++index) {
            T entry{};
            if (!read(entry)) {
                return false;
            }
            list.push_back(std::move(entry));
        }
        return true;
    }

    template <structure T>
    [[nodiscard]] bool read(T& value) {
        std::size_t size = 0;
        return enter(size) && read_fields(value, size);
    }

    /// \param size values left in the array that holds the fields; further ones are skipped
    template <structure T>
    [[nodiscard]] bool read_fields(T& value, std::size_t size) {
        constexpr auto fields = fields_of(tag<T>{});
        constexpr std::size_t count = std::tuple_size_v<decltype(fields)>;
        if (size < count) {
            return false;
        }
        const bool is_read =
            std::apply([&](auto... field) { return (this->read(value.*field) && ...); }, fields);
        return is_read && skip(size - count);
    }

private:
    template <class T>
    [[nodiscard]] T* next() {
        return position_ < tokens_.size() ? std::get_if<T>(&tokens_[position_++]) : nullptr;
    }

    [[nodiscard]] bool read_text(std::string& value, std::size_t max_bytes) {
        std::string* found = next<std::string>();
        if (found == nullptr || found->size() > max_bytes) {
            return false;
        }
        value = std::move(*found);
        return true;
    }

    token_list tokens_;
    std::size_t position_ = 0;
};

} // namespace cicadahatch::rpc::internal
