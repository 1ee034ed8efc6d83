#include "programs/cicadahatch/command.hpp"
#include "programs/cicadahatch/order.hpp"

#include <algorithm>
#include <array>

namespace cicadahatch::tool {

namespace {

constexpr std::array<const char*, 3> level_names{"info", "warning", "error"};

} // namespace

exit_code run_log_level(const argument_list& arguments, const terminal& to) {
    auto options = make_options("log-level", "Sets the least severity that daemons log.",
                                "info|warning|error");
    options.add_options()("level", "", cxxopts::value<std::string>()->default_value(""));
    options.parse_positional("level");
    add_admin_options(options);
    const parse_outcome parsed = parse(options, arguments, to);
    if (!parsed.line) {
        return parsed.stop;
    }
    const auto level = parsed.line->values["level"].as<std::string>();
    const auto found = std::find(level_names.begin(), level_names.end(), level);
    if (found == level_names.end()) {
        return fail_usage(to, "the level is info, warning or error");
    }
    return send_order(*parsed.line, "log-level", {{"level", found - level_names.begin()}});
}

} // namespace cicadahatch::tool
