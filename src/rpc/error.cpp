#include "src/rpc/error.hpp"

#include <string>

namespace cicadahatch::rpc {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "rpc"; }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
        case errc::malformed:
            return "not a batch";
        case errc::too_large:
            return "over a bound of the protocol";
        case errc::outbox_full:
            return "outbox full";
        case errc::not_connected:
            return "peer not reached";
        case errc::not_acknowledged:
            return "peer did not acknowledge";
        case errc::refused:
            return "peer refused the link";
        case errc::listener_failed:
            return "listener not opened";
        case errc::link_closed:
            return "link closed";
        case errc::call_failed:
            return "call answered with an error";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category& rpc_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), rpc_category()};
}

bool is_surely_not_taken(const std::error_code& error) noexcept {
    return error == errc::outbox_full || error == errc::not_connected || error == errc::refused;
}

} // namespace cicadahatch::rpc
