#pragma once

#include "src/core/strong_id.hpp"
#include "src/settings/field_description.hpp"
#include "src/settings/internal/fault_list.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <json/value.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cicadahatch::settings::internal {

/// \brief How one kind of value is read from JSON, checked, written and described.
template <class Value>
struct codec {
    std::string type;
    std::string unit;
    std::string accepted;
    std::vector<field_description> parts; ///< fields of an object, or of a list's elements
    std::function<void(const Json::Value&, Value&, const std::string& path, fault_list&)> read;
    std::function<Json::Value(const Value&)> write;
};

/// \brief Any text without control characters of a bounded size.
[[nodiscard]] codec<std::string> text(std::size_t least_bytes, std::size_t most_bytes);

/// \brief Letters, digits and the extra characters, beginning with a letter or digit.
[[nodiscard]] codec<std::string> word(std::string_view extra = "._-");

/// \brief "host:port" with a numeric address.
/// \param is_port_chosen whether port 0 is refused
[[nodiscard]] codec<std::string> place(bool is_port_chosen);

/// \brief A path that begins with a slash.
[[nodiscard]] codec<std::string> url_path();

[[nodiscard]] codec<bool> boolean();
[[nodiscard]] codec<double> number(double least, double most);
[[nodiscard]] codec<std::int64_t> whole_number(std::int64_t least, std::int64_t most);

/// \brief One of the given texts.
[[nodiscard]] codec<std::string> one_of(std::vector<std::string> names);

/// \brief Accepts the empty text as well.
[[nodiscard]] codec<std::string> or_empty(const codec<std::string>& inner);

/// \brief Carries another representation of the value, such as an integer for a duration.
/// \param decode makes the value from its representation
/// \param encode makes the representation
template <class Value, class Inner, class Decode, class Encode>
[[nodiscard]] codec<Value> mapped(codec<Inner> inner, Decode decode, Encode encode) {
    codec<Value> outer{inner.type, inner.unit, inner.accepted, inner.parts, {}, {}};
    outer.read = [read = inner.read, decode](const Json::Value& json, Value& value,
                                             const std::string& path, fault_list& faults) {
        Inner raw{};
        read(json, raw, path, faults);
        value = decode(raw);
    };
    outer.write = [write = inner.write, encode](const Value& value) {
        return write(encode(value));
    };
    return outer;
}

/// \brief An integer of any width.
template <class Integer>
[[nodiscard]] codec<Integer> integer(Integer least, Integer most, const std::string& unit = {}) {
    auto inner = whole_number(static_cast<std::int64_t>(least), static_cast<std::int64_t>(most));
    inner.unit = unit;
    return mapped<Integer>(
        std::move(inner), [](std::int64_t raw) { return static_cast<Integer>(raw); },
        [](const Integer& value) { return static_cast<std::int64_t>(value); });
}

/// \brief A duration, written as a whole number of its unit.
template <class Duration>
[[nodiscard]] codec<Duration> time(Duration least, Duration most, const std::string& unit) {
    auto inner = whole_number(least.count(), most.count());
    inner.unit = unit;
    return mapped<Duration>(
        std::move(inner), [](std::int64_t raw) { return Duration{raw}; },
        [](const Duration& value) { return static_cast<std::int64_t>(value.count()); });
}

/// \brief A name_id, written as text.
template <class Name>
[[nodiscard]] codec<Name> name(codec<std::string> inner = word()) {
    return mapped<Name>(
        std::move(inner), [](const std::string& raw) { return Name{raw}; },
        [](const Name& value) { return value.str(); });
}

/// \brief An enumerator, written as one of the given texts.
template <class Enum>
[[nodiscard]] codec<Enum> choice(std::vector<std::pair<Enum, std::string>> names) {
    std::vector<std::string> texts;
    texts.reserve(names.size());
    for (const auto& entry : names) {
        texts.push_back(entry.second);
    }
    const auto decode = [names](const std::string& raw) {
        for (const auto& entry : names) {
            if (entry.second == raw) {
                return entry.first;
            }
        }
        return names.front().first;
    };
    const auto encode = [names](const Enum& value) {
        for (const auto& entry : names) {
            if (entry.first == value) {
                return entry.second;
            }
        }
        return std::string{};
    };
    return mapped<Enum>(one_of(std::move(texts)), decode, encode);
}

/// \returns whether the value is a list of an accepted size; adds a fault if not
[[nodiscard]] bool check_list(const Json::Value& json, std::size_t least, std::size_t most,
                              const std::string& path, fault_list& faults);

/// \returns "LEAST to MOST entries"
[[nodiscard]] std::string describe_list(std::size_t least, std::size_t most);

/// \brief A list of values of one kind.
template <class Value>
[[nodiscard]] codec<std::vector<Value>> list(const codec<Value>& element, std::size_t least,
                                             std::size_t most) {
    codec<std::vector<Value>> outer;
    outer.type = "list of " + element.type;
    outer.accepted = describe_list(least, most);
    if (!element.accepted.empty()) {
        outer.accepted += "; each " + element.accepted;
    }
    outer.parts = element.parts;
    for (field_description& part : outer.parts) {
        part.path = "[]." + part.path;
    }
    outer.read = [read = element.read, least, most](const Json::Value& json,
                                                    std::vector<Value>& values,
                                                    const std::string& path, fault_list& faults) {
        if (!check_list(json, least, most, path, faults)) {
            return;
        }
        for (Json::ArrayIndex index = 0; index < json.size(); ++index) {
            const std::string at = path + "[" + std::to_string(index) + "]";
            faults.note_place(at, json[index].getOffsetStart());
            read(json[index], values.emplace_back(), at, faults);
        }
    };
    outer.write = [write = element.write](const std::vector<Value>& values) {
        Json::Value json{Json::arrayValue};
        for (const Value& value : values) {
            json.append(write(value));
        }
        return json;
    };
    return outer;
}

} // namespace cicadahatch::settings::internal
