#pragma once

#include "src/rpc/internal/message_fields.hpp"

#include <nlohmann/json.hpp>

namespace cicadahatch::rpc::internal {

/// \brief Renders fields as values of the JSON data model: numbers, strings and arrays.
[[nodiscard]] inline nlohmann::json to_json(const std::string& text) {
    return text;
}

template <class Tag>
[[nodiscard]] nlohmann::json to_json(const name_id<Tag>& id) {
    return id.str();
}

template <class Tag, class Value>
[[nodiscard]] nlohmann::json to_json(const number_id<Tag, Value>& id) {
    return id.value();
}

template <class Rep, class Period>
[[nodiscard]] nlohmann::json to_json(std::chrono::duration<Rep, Period> span) {
    return span.count();
}

template <class T>
requires std::is_arithmetic_v<T>
[[nodiscard]] nlohmann::json to_json(T number) {
    return number;
}

template <class T>
requires std::is_enum_v<T>
[[nodiscard]] nlohmann::json to_json(T enumerator) {
    return static_cast<std::underlying_type_t<T>>(enumerator);
}

template <structure T>
[[nodiscard]] nlohmann::json to_json(const T& value);

template <class T>
[[nodiscard]] nlohmann::json to_json(const std::vector<T>& list) {
    nlohmann::json array = nlohmann::json::array();
    for (const T& entry : list) {
        array.push_back(to_json(entry));
    }
    return array;
}

template <structure T>
void append_fields(nlohmann::json& array, const T& value) {
    std::apply([&](auto... field) { (array.push_back(to_json(value.*field)), ...); },
               fields_of(tag<T>{}));
}

template <structure T>
nlohmann::json to_json(const T& value) {
    nlohmann::json array = nlohmann::json::array();
    append_fields(array, value);
    return array;
}

} // namespace cicadahatch::rpc::internal
