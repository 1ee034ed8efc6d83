#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace cicadahatch::test_support {

/// \brief Walks every path of a program that asks for each of its decisions here.
///
/// Run the program once per path: `choices path; do { run(path); } while (path.advance());`
class choices {
public:
    /// \param options how many ways there are now; at least one
    /// \returns the way to go on this path
    std::size_t pick(std::size_t options) {
        if (depth_ == taken_.size()) {
            taken_.push_back({0, options});
        }
        return taken_[depth_++].chosen;
    }

    /// \returns whether there is another path; the next run walks it
    bool advance() {
        depth_ = 0;
        while (!taken_.empty()) {
            if (++taken_.back().chosen < taken_.back().options) {
                return true;
            }
            taken_.pop_back();
        }
        return false;
    }

    /// \returns the decisions of this path, for the report of a failure
    [[nodiscard]] std::string str() const {
        std::string text;
        for (const decision& made : taken_) {
            text += std::to_string(made.chosen) + " ";
        }
        return text;
    }

private:
    struct decision {
        std::size_t chosen = 0;
        std::size_t options = 1;
    };

    std::vector<decision> taken_;
    std::size_t depth_ = 0;
};

} // namespace cicadahatch::test_support
