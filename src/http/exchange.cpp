#include "src/http/exchange.hpp"

#include "src/core/macros.hpp"
#include "src/http/constants.hpp"

#include <civetweb.h>

namespace cicadahatch::http {

namespace {

std::string response_head(int status, const header_list& headers) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head += mg_get_response_code_text(nullptr, status);
    head += "\r\n";
    for (const header& entry : headers) {
        head += entry.name + ": " + entry.value + "\r\n";
    }
    return head;
}

} // namespace

bool exchange::allows_interim() const {
    const std::string* preferred = find_header(request_.headers, "Prefer");
    return is_http_1_1_ && (preferred == nullptr || *preferred != prefer_no_interim);
}

bool exchange::send_interim() {
    CICADAHATCH_ASSERT(!has_begun_, interim_precedes_response);
    if (!allows_interim()) {
        return true;
    }
    return send("HTTP/1.1 102 Processing\r\n\r\n");
}

bool exchange::respond(const response& answer) {
    CICADAHATCH_ASSERT(!has_begun_, response_is_sent_once);
    has_begun_ = true;
    std::string bytes = response_head(answer.status, answer.headers);
    bytes += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
    bytes += answer.body;
    return send(bytes);
}

bool exchange::begin_stream(int status, const header_list& headers) {
    CICADAHATCH_ASSERT(!has_begun_, stream_begins_once);
    has_begun_ = true;
    std::string bytes = response_head(status, headers);
    bytes += "Connection: close\r\n\r\n";
    mg_disable_connection_keep_alive(connection_);
    return send(bytes);
}

bool exchange::write(std::string_view bytes) {
    CICADAHATCH_ASSERT(has_begun_, write_follows_begin);
    return send(bytes);
}

void exchange::abandon() {
    has_begun_ = true;
    mg_disable_connection_keep_alive(connection_);
}

bool exchange::send(std::string_view bytes) {
    const int written = mg_write(connection_, bytes.data(), bytes.size());
    return written == static_cast<int>(bytes.size());
}

} // namespace cicadahatch::http
