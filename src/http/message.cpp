#include "src/http/message.hpp"

#include <strings.h>

namespace cicadahatch::http {

const std::string* find_header(const header_list& headers, std::string_view name) {
    for (const header& entry : headers) {
        if (entry.name.size() == name.size() &&
            strncasecmp(entry.name.data(), name.data(), name.size()) == 0) {
            return &entry.value;
        }
    }
    return nullptr;
}

response json_response(int status, std::string body) {
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace cicadahatch::http
