#include "src/http/error.hpp"

#include <string>

namespace cicadahatch::http {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "http"; }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
        case errc::bad_endpoint:
            return "not a numeric address and port";
        case errc::connect_failed:
            return "no connection";
        case errc::send_failed:
            return "connection lost while sending";
        case errc::response_timeout:
            return "no response in time";
        case errc::response_broken:
            return "response ended early";
        case errc::body_too_large:
            return "body too large";
        case errc::body_truncated:
            return "body truncated";
        case errc::body_late:
            return "body late";
        case errc::header_too_large:
            return "line too long";
        case errc::server_not_started:
            return "listener not opened";
        case errc::address_in_use:
            return "address in use by another process";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category& http_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), http_category()};
}

bool is_surely_unsent(const std::error_code& error) noexcept {
    return error == errc::connect_failed || error == errc::bad_endpoint;
}

} // namespace cicadahatch::http
