#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace cicadahatch {

/// \brief A name that can't be confused with a name of another kind.
/// \tparam Tag an incomplete type that tells the kinds apart
template <class Tag>
class name_id {
public:
    name_id() = default;
    explicit name_id(std::string value) : value_(std::move(value)) {}

    [[nodiscard]] const std::string& str() const noexcept { return value_; }
    [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

    friend auto operator<=>(const name_id&, const name_id&) = default;

private:
    std::string value_;
};

/// \brief A number that can't be confused with a number of another kind. Zero means "none".
/// \tparam Tag an incomplete type that tells the kinds apart
/// \tparam Value the unsigned type that holds it
template <class Tag, class Value>
class number_id {
public:
    using value_type = Value;

    constexpr number_id() = default;
    constexpr explicit number_id(Value value) : value_(value) {}

    [[nodiscard]] constexpr Value value() const noexcept { return value_; }
    [[nodiscard]] constexpr bool empty() const noexcept { return value_ == Value{}; }

    friend constexpr auto operator<=>(const number_id&, const number_id&) = default;

private:
    Value value_{};
};

} // namespace cicadahatch

template <class Tag>
struct std::hash<cicadahatch::name_id<Tag>> {
    std::size_t operator()(const cicadahatch::name_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.str());
    }
};

template <class Tag, class Value>
struct std::hash<cicadahatch::number_id<Tag, Value>> {
    std::size_t operator()(const cicadahatch::number_id<Tag, Value>& id) const noexcept {
        return std::hash<Value>{}(id.value());
    }
};
