#include "test/demo/outcomes.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace demo {

namespace {

std::string summary_of(const std::string& why) {
    const auto content = nlohmann::json::parse(why, nullptr, false);
    if (!content.is_object()) {
        return "connection ended";
    }
    return content.value("code", "?") + ", " + content.value("execution", "?");
}

void print_counts(const char* title, const std::multiset<std::string>& noted) {
    std::printf("%s: %zu\n", title, noted.size());
    for (auto entry = noted.begin(); entry != noted.end(); entry = noted.upper_bound(*entry)) {
        std::printf("  %5zu  %s\n", noted.count(*entry), entry->c_str());
    }
}

} // namespace

void outcomes::answered(const std::string& kind) {
    const std::lock_guard lock{mutex_};
    answered_.insert(kind);
}

void outcomes::refused(const std::string& kind, const std::string& why) {
    const std::lock_guard lock{mutex_};
    refused_.insert(kind + " (" + summary_of(why) + ")");
}

void outcomes::wrong(const std::string& what) {
    const std::lock_guard lock{mutex_};
    wrong_.insert(what);
}

int outcomes::answers(const std::string& kind) const {
    const std::lock_guard lock{mutex_};
    return static_cast<int>(answered_.count(kind));
}

bool outcomes::has_wrong() const {
    const std::lock_guard lock{mutex_};
    return !wrong_.empty();
}

void outcomes::print() const {
    const std::lock_guard lock{mutex_};
    print_counts("answered, content compared", answered_);
    print_counts("refused or cut off", refused_);
    print_counts("wrong", wrong_);
}

} // namespace demo
