#include "programs/cicadahatch/command.hpp"
#include "programs/cicadahatch/order.hpp"

namespace cicadahatch::tool {

namespace {

json drain_body(const cxxopts::ParseResult& values) {
    if (values.count("daemon") > 0) {
        return {{"daemon", true}};
    }
    json body{{"backend", values["backend"].as<std::string>()}};
    if (values.count("undo") > 0) {
        body["undo"] = true;
    }
    return body;
}

} // namespace

exit_code run_drain(const argument_list& arguments, const terminal& to) {
    auto options = make_options(
        "drain", "Takes a backend server, or the daemons named by --admin, out of service.",
        "[BACKEND]");
    options.add_options()("daemon", "drain the daemons themselves");
    options.add_options()("undo", "put the backend server back into service");
    options.add_options()("backend", "", cxxopts::value<std::string>());
    options.parse_positional("backend");
    add_admin_options(options);
    const parse_outcome parsed = parse(options, arguments, to);
    if (!parsed.line) {
        return parsed.stop;
    }
    const cxxopts::ParseResult& values = parsed.line->values;
    if ((values.count("daemon") > 0) == (values.count("backend") > 0)) {
        return fail_usage(to, "name either a backend server or --daemon");
    }
    if (values.count("daemon") > 0 && values.count("undo") > 0) {
        return fail_usage(to, "a daemon's drain can't be undone");
    }
    return send_order(*parsed.line, "drain", drain_body(values));
}

} // namespace cicadahatch::tool
