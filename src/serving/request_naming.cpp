#include "src/serving/request_naming.hpp"

#include "src/core/constants.hpp"

#include <algorithm>

namespace cicadahatch::serving {

namespace {

bool is_printable(char letter) {
    constexpr char first_printable = '!';
    constexpr char last_printable = '~';
    return letter >= first_printable && letter <= last_printable;
}

} // namespace

request_id echoed_id(const http::request& received, const request_id& own) {
    const std::string* given = http::find_header(received.headers, "X-Request-Id");
    if (given == nullptr || given->empty() || given->size() > max_name_bytes) {
        return own;
    }
    const bool is_clean = std::all_of(given->begin(), given->end(), is_printable);
    return is_clean ? request_id{*given} : own;
}

} // namespace cicadahatch::serving
