#include "programs/cicadahatch/command.hpp"
#include "programs/cicadahatch/faults.hpp"
#include "programs/cicadahatch/service_set.hpp"

namespace cicadahatch::tool {

namespace {

void check_settings(const argument_list& files, std::vector<settings::field_error>& faults) {
    for (const std::string& file : files) {
        const auto loaded = settings::load_daemon_settings(file);
        faults.insert(faults.end(), loaded.errors.begin(), loaded.errors.end());
    }
}

argument_list values_of(const cxxopts::ParseResult& values, const std::string& name) {
    return values.count(name) > 0 ? values[name].as<argument_list>() : argument_list{};
}

} // namespace

exit_code run_check(const argument_list& arguments, const terminal& to) {
    auto options =
        make_options("check", "Checks service files and daemon settings.", "DIR|FILE...");
    options.add_options()("settings", "a daemon settings file to check",
                          cxxopts::value<argument_list>(), "FILE[,..]");
    options.add_options()("places", "", cxxopts::value<argument_list>());
    options.parse_positional("places");
    const parse_outcome parsed = parse(options, arguments, to);
    if (!parsed.line) {
        return parsed.stop;
    }
    const argument_list places = values_of(parsed.line->values, "places");
    const argument_list settings_files = values_of(parsed.line->values, "settings");
    if (places.empty() && settings_files.empty()) {
        return fail_usage(to, "nothing to check");
    }
    auto collected = collect_services(places);
    check_settings(settings_files, collected.errors);
    print_faults(parsed.line->to, collected.errors);
    if (!collected.is_valid()) {
        return exit_code::failed;
    }
    if (parsed.line->to.format == output_format::table) {
        to.out << collected.value.size() << " service files and " << settings_files.size()
               << " settings files are sound\n";
    }
    return exit_code::ok;
}

} // namespace cicadahatch::tool
