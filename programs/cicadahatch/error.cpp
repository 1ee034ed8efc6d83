#include "programs/cicadahatch/error.hpp"

#include <string>

namespace cicadahatch::tool {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "tool"; }
    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<errc>(value)) {
        case errc::no_daemons:
            return "no daemon named; give --admin HOST:PORT[,..] or set CICADAHATCH_ADMIN";
        case errc::no_platform:
            return "no platform named; give --platform HOST:PORT[,..] or set CICADAHATCH_PLATFORM";
        case errc::bad_endpoint:
            return "an endpoint is not a numeric address and port, such as 10.0.0.1:8081";
        case errc::unreadable_token:
            return "token file can't be read";
        case errc::unreadable_file:
            return "file can't be read";
        case errc::unwritable_file:
            return "file can't be written";
        case errc::unauthorized:
            return "admin token refused";
        case errc::refused:
            return "refused by the daemon";
        case errc::malformed_answer:
            return "answer not understood";
        case errc::missing_markers:
            return "page without the markers of its generated part";
        case errc::not_in_force:
            return "an older revision is in force";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category& tool_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), tool_category()};
}

} // namespace cicadahatch::tool
