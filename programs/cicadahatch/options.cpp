#include "programs/cicadahatch/options.hpp"

#include <cstdlib>
#include <sstream>

namespace cicadahatch::tool {

cxxopts::Options make_options(const std::string& command, const std::string& summary,
                              const std::string& usage) {
    cxxopts::Options options("cicadahatch " + command, summary);
    options.custom_help("[OPTION...]");
    options.positional_help(usage);
    options.add_options()("output", "json or table",
                          cxxopts::value<std::string>()->default_value("table"), "FORMAT");
    options.add_options()("h,help", "show this help");
    return options;
}

void add_admin_options(cxxopts::Options& options) {
    auto add = options.add_options("Daemons");
    add("admin", "admin listeners of the daemons; default: CICADAHATCH_ADMIN",
        cxxopts::value<argument_list>(), "HOST:PORT[,..]");
    add("token-file", "file with the admin token; default: CICADAHATCH_ADMIN_TOKEN",
        cxxopts::value<std::string>(), "FILE");
    add("ca", "PEM file of the authority of the daemons' certificates; uses TLS",
        cxxopts::value<std::string>(), "FILE");
    add("certificate", "PEM file of the own certificate and key", cxxopts::value<std::string>(),
        "FILE");
}

void add_platform_option(cxxopts::Options& options) {
    options.add_options("Platform")(
        "platform", "endpoints of the key-value service; default: CICADAHATCH_PLATFORM",
        cxxopts::value<argument_list>(), "HOST:PORT[,..]");
}

parse_outcome parse(cxxopts::Options& options, const argument_list& arguments, const terminal& to) {
    std::vector<const char*> pointers{"cicadahatch"};
    for (const std::string& argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    try {
        const auto values = options.parse(static_cast<int>(pointers.size()), pointers.data());
        if (values.count("help") > 0) {
            to.out << options.help();
            return {std::nullopt, exit_code::ok};
        }
        if (!values.unmatched().empty()) {
            return {std::nullopt,
                    fail_usage(to, "unexpected argument " + values.unmatched().front())};
        }
        const auto format = values["output"].as<std::string>();
        if (format != "json" && format != "table") {
            return {std::nullopt, fail_usage(to, "--output is json or table")};
        }
        const auto chosen = format == "json" ? output_format::json : output_format::table;
        return {parsed_line{values, {to.out, to.err, chosen}}, exit_code::ok};
    } catch (const cxxopts::exceptions::exception& error) {
        return {std::nullopt, fail_usage(to, error.what())};
    }
}

exit_code fail_usage(const terminal& to, const std::string& text) {
    to.err << "cicadahatch: " << text << "; see --help\n";
    return exit_code::usage;
}

argument_list list_value(const cxxopts::ParseResult& values, const std::string& name,
                         const char* variable) {
    if (values.count(name) > 0) {
        return values[name].as<argument_list>();
    }
    argument_list found;
    const char* text = std::getenv(variable);
    std::istringstream parts(text == nullptr ? "" : text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        found.push_back(part);
    }
    return found;
}

} // namespace cicadahatch::tool
