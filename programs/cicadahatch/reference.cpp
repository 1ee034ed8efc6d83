#include "programs/cicadahatch/reference.hpp"

#include "cicadahatch/settings"
#include "programs/cicadahatch/error.hpp"

namespace cicadahatch::tool {

namespace {

constexpr const char* begin_marker = "<!-- begin: cicadahatch docs configuration -->";
constexpr const char* end_marker = "<!-- end: cicadahatch docs configuration -->";

} // namespace

std::string configuration_reference() {
    return std::string{begin_marker} + "\n## Fields of a service file\n\n" +
           settings::render_table(settings::describe_service()) +
           "\n## Fields of the daemon's settings\n\n" +
           settings::render_table(settings::describe_daemon_settings()) +
           "\n## Fields of a gateway's settings\n\n" +
           settings::render_table(settings::describe_gateway_settings()) + "\n" + end_marker;
}

result<std::string> replace_reference(const std::string& page) {
    const std::size_t begin = page.find(begin_marker);
    const std::size_t end = page.find(end_marker);
    if (begin == std::string::npos || end == std::string::npos || end < begin) {
        return failure(errc::missing_markers);
    }
    const std::string rest = page.substr(end + std::string{end_marker}.size());
    return page.substr(0, begin) + configuration_reference() + rest;
}

} // namespace cicadahatch::tool
