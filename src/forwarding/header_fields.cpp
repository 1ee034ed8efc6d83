#include "src/forwarding/header_fields.hpp"

#include <array>
#include <string>
#include <vector>

namespace cicadahatch::forwarding {

namespace {

using beast_http::field;

constexpr std::array connection_fields{field::connection,
                                       field::keep_alive,
                                       field::proxy_connection,
                                       field::proxy_authenticate,
                                       field::proxy_authorization,
                                       field::te,
                                       field::trailer,
                                       field::transfer_encoding,
                                       field::upgrade,
                                       field::content_length,
                                       field::expect};

} // namespace

void remove_connection_fields(field_map& head) {
    std::vector<std::string> named;
    const auto connections = head.equal_range(field::connection);
    for (auto entry = connections.first; entry != connections.second; ++entry) {
        for (const auto& token : beast_http::token_list{entry->value()}) {
            named.emplace_back(token);
        }
    }
    for (const std::string& name : named) {
        head.erase(name);
    }
    for (const field name : connection_fields) {
        head.erase(name);
    }
}

head_fault check_head(const beast_http::request_header<>& head) {
    if (head.count(field::host) != 1) {
        return head_fault::host;
    }
    const std::size_t codings = head.count(field::transfer_encoding);
    const std::size_t lengths = head.count(field::content_length);
    const bool is_chunked =
        codings == 1 && boost::beast::iequals(head[field::transfer_encoding], "chunked");
    if (codings + lengths > 1 || (codings == 1 && !is_chunked)) {
        return head_fault::framing;
    }
    if (head.target().empty() || head.target().front() != '/') {
        return head_fault::target;
    }
    return head_fault::none;
}

} // namespace cicadahatch::forwarding
