#include "src/serving/caller_rank.hpp"

#include <algorithm>

namespace cicadahatch::serving {

namespace {

constexpr std::string_view bearer = "Bearer ";

bool may_ask_for_urgent(const settings::service& asked, const http::request& received) {
    const std::string* given = http::find_header(received.headers, "Authorization");
    if (given == nullptr || given->rfind(bearer, 0) != 0) {
        return false;
    }
    const std::string token = given->substr(bearer.size());
    const auto& listed = asked.urgent_callers;
    return std::find(listed.begin(), listed.end(), token) != listed.end();
}

} // namespace

rank rank_of(const settings::service& asked, const http::request& received) {
    if (asked.rank_header.empty()) {
        return asked.default_rank;
    }
    const std::string* wanted = http::find_header(received.headers, asked.rank_header);
    if (wanted == nullptr) {
        return asked.default_rank;
    }
    if (*wanted == "deferrable") {
        return rank::deferrable;
    }
    const bool is_raised = *wanted == "urgent" && may_ask_for_urgent(asked, received);
    return is_raised ? rank::urgent : asked.default_rank;
}

} // namespace cicadahatch::serving
