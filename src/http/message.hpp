#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cicadahatch::http {

/// \brief One header field.
struct header {
    std::string name;
    std::string value;
};

using header_list = std::vector<header>;

/// \param name compared without regard to case
/// \returns the first value of that name, or null
[[nodiscard]] const std::string* find_header(const header_list& headers, std::string_view name);

/// \brief A request as a server received it, or as a client sends it.
struct request {
    std::string method = "GET";
    std::string path;  ///< without the query
    std::string query; ///< without the question mark
    header_list headers;
    std::string body;
};

/// \brief A whole response.
struct response {
    int status = 0;
    header_list headers;
    std::string body;
};

/// \returns a response with a JSON body
[[nodiscard]] response json_response(int status, std::string body);

} // namespace cicadahatch::http
