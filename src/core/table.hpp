#pragma once

#include "src/core/macros.hpp"

#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cicadahatch {

/// \brief Rows kept densely in insertion order, found by their identifier.
///
/// Systems iterate over rows(). Erasing moves the last row into the gap, so the order is not
/// kept; a system that erases while it iterates uses erase_if().
/// \tparam Id hashable identifier
/// \tparam Row a plain struct with a member `Id id`
template <class Id, class Row>
class table {
public:
    [[nodiscard]] std::size_t size() const noexcept { return rows_.size(); }
    [[nodiscard]] bool empty() const noexcept { return rows_.empty(); }
    [[nodiscard]] const std::vector<Row>& rows() const noexcept { return rows_; }
    /// Rows may be changed through this, their identifiers may not.
    [[nodiscard]] std::vector<Row>& rows() noexcept { return rows_; }
    [[nodiscard]] bool contains(const Id& id) const { return index_.find(id) != index_.end(); }

    /// \returns the row, or null; valid until the next insertion or erasure
    [[nodiscard]] Row* find(const Id& id) {
        const auto found = index_.find(id);
        return found == index_.end() ? nullptr : &rows_[found->second];
    }
    /// \copydoc find
    [[nodiscard]] const Row* find(const Id& id) const {
        const auto found = index_.find(id);
        return found == index_.end() ? nullptr : &rows_[found->second];
    }

    /// \brief Adds a row whose identifier is not in the table yet.
    /// \returns the row in its place
    Row& insert(Row row) {
        const bool added = index_.emplace(row.id, rows_.size()).second;
        CICADAHATCH_ASSERT(added, table_identifier_is_new);
        rows_.push_back(std::move(row));
        return rows_.back();
    }

    /// \returns whether a row was removed
    bool erase(const Id& id) {
        const auto found = index_.find(id);
        if (found == index_.end()) {
            return false;
        }
        const std::size_t gap = found->second;
        index_.erase(found);
        if (gap + 1 != rows_.size()) {
            rows_[gap] = std::move(rows_.back());
            index_[rows_[gap].id] = gap;
        }
        rows_.pop_back();
        return true;
    }

    /// \brief Removes every row for which the predicate holds.
    template <class Predicate>
    void erase_if(Predicate predicate) {
        for (std::size_t position = 0; position < rows_.size();) {
            if (predicate(rows_[position])) {
                const Id id = rows_[position].id;
                erase(id);
            } else {
                ++position;
            }
        }
    }

    void clear() {
        rows_.clear();
        index_.clear();
    }

private:
    std::vector<Row> rows_;
    std::unordered_map<Id, std::size_t> index_;
};

} // namespace cicadahatch
