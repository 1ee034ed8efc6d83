#include "src/settings/internal/fault_list.hpp"

#include <algorithm>

namespace cicadahatch::settings::internal {

void fault_list::note_place(const std::string& path, std::ptrdiff_t offset) {
    const auto bounded = std::min(static_cast<std::size_t>(offset), text_.size());
    const std::string_view before = text_.substr(0, bounded);
    lines_[path] = 1 + static_cast<int>(std::count(before.begin(), before.end(), '\n'));
}

void fault_list::add(const std::string& path, errc code, std::string accepted) {
    add_at_line(line_of(path), path, code, std::move(accepted));
}

void fault_list::add_at_line(int line, const std::string& path, errc code, std::string accepted) {
    faults_.push_back({source_, line, path, code, std::move(accepted)});
}

int fault_list::line_of(std::string path) const {
    while (!path.empty()) {
        const auto found = lines_.find(path);
        if (found != lines_.end()) {
            return found->second;
        }
        const std::size_t cut = path.find_last_of(".[");
        path.resize(cut == std::string::npos ? 0 : cut);
    }
    const auto root = lines_.find("");
    return root == lines_.end() ? 0 : root->second;
}

} // namespace cicadahatch::settings::internal
