#pragma once

#include "src/core/identifiers.hpp"
#include "src/engines/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cicadahatch::serving {

/// \brief Puts the frames of one answer in order and drops what does not belong.
///
/// Only frames of the current attempt count. A frame before the next position is a repeat and is
/// dropped; one after it waits for those between.
class answer_assembler {
public:
    /// \returns the position of the next token to be delivered
    [[nodiscard]] std::uint64_t position() const noexcept { return position_; }
    /// \returns the text delivered so far
    [[nodiscard]] const std::string& text() const noexcept { return text_; }
    /// \returns whether frames wait for an earlier one
    [[nodiscard]] bool has_gap() const noexcept { return !ahead_.empty(); }

    /// \brief From now on only this attempt's frames count.
    void begin_attempt(attempt_number attempt);

    /// \returns the tokens that can be delivered now, in order
    [[nodiscard]] std::vector<std::string> accept(const engines::frame& received);

private:
    attempt_number attempt_;
    std::uint64_t position_ = 0;
    std::map<std::uint64_t, std::string> ahead_;
    std::string text_;
};

} // namespace cicadahatch::serving
