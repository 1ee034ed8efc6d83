#include "src/engines/error.hpp"

#include <string>

namespace cicadahatch::engines {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "engines"; }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
        case errc::not_reached:
            return "backend server not reached";
        case errc::refused:
            return "backend server refused the request";
        case errc::leaving:
            return "backend server is leaving";
        case errc::cancelled:
            return "attempt cancelled";
        case errc::kv_gone:
            return "KV cache has been released";
        case errc::no_response:
            return "no response from the backend server";
        case errc::stream_broken:
            return "token stream broken";
        case errc::malformed_frame:
            return "malformed frame";
        case errc::malformed_response:
            return "malformed response";
        case errc::stale_fencing:
            return "stale fencing number";
        case errc::too_late:
            return "send deadline has passed";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category& engines_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), engines_category()};
}

bool is_known_not_executed(const std::error_code& error) noexcept {
    return error == errc::not_reached || error == errc::refused || error == errc::leaving ||
           error == errc::stale_fencing || error == errc::too_late;
}

} // namespace cicadahatch::engines
