#pragma once

#include "src/settings/error.hpp"
#include "src/settings/field_error.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cicadahatch::settings::internal {

/// \brief Collects the faults of one file and knows on which line each of its fields stands.
class fault_list {
public:
    /// \param text the file's text; must outlive this object
    fault_list(std::string_view text, std::string_view source) : text_(text), source_(source) {}

    [[nodiscard]] bool empty() const noexcept { return faults_.empty(); }
    /// \returns whether the field stands in the file
    [[nodiscard]] bool holds(const std::string& path) const { return lines_.contains(path); }
    /// \returns the faults in the order of the file's lines
    [[nodiscard]] std::vector<field_error> take() {
        std::stable_sort(faults_.begin(), faults_.end(), [](const auto& left, const auto& right) {
            return left.line < right.line;
        });
        return std::move(faults_);
    }

    /// \brief Remembers where a field's value begins.
    void note_place(const std::string& path, std::ptrdiff_t offset);

    /// \brief Adds a fault on the line of the field, or of the nearest object around it.
    void add(const std::string& path, errc code, std::string accepted);
    void add_at_line(int line, const std::string& path, errc code, std::string accepted);

private:
    [[nodiscard]] int line_of(std::string path) const;

    std::string_view text_;
    std::string source_;
    std::map<std::string, int> lines_;
    std::vector<field_error> faults_;
};

} // namespace cicadahatch::settings::internal
