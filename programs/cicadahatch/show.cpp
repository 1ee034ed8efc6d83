#include "programs/cicadahatch/admin_client.hpp"
#include "programs/cicadahatch/command.hpp"
#include "programs/cicadahatch/error.hpp"
#include "programs/cicadahatch/in_force.hpp"
#include "programs/cicadahatch/platform_client.hpp"
#include "src/configuration/error.hpp"
#include "src/configuration/load.hpp"

#include <algorithm>

namespace cicadahatch::tool {

namespace {

json to_json(const configuration::accepted_service& accepted) {
    const settings::service& described = accepted.described;
    const bool is_model = described.kind == settings::service_kind::model;
    return {{"service", described.name.str()},      {"team", described.team.str()},
            {"kind", is_model ? "model" : "plain"}, {"model", described.model.str()},
            {"version", described.version},         {"backends", described.backends.size()},
            {"changed", accepted.changed.value()}};
}

exit_code fail_load(const terminal& to, const std::error_code& error) {
    if (error.category() == tool_category()) {
        return fail(to, "", error, exit_code::usage);
    }
    const bool is_unreached = is_platform_unreached(error);
    return fail(to, "platform", error, is_unreached ? exit_code::unreachable : exit_code::failed);
}

result<configuration::snapshot_ptr> load_accepted(const cxxopts::ParseResult& values) {
    const auto store = open_platform(values);
    if (!store) {
        return tl::unexpected(store.error());
    }
    return configuration::load(**store);
}

exit_code show_services(const parsed_line& line) {
    const auto accepted = load_accepted(line.values);
    if (!accepted) {
        return fail_load(line.to, accepted.error());
    }
    json records = json::array();
    for (const auto& [name, service] : (*accepted)->services()) {
        records.push_back(to_json(*service));
    }
    print_records(line.to, records);
    return exit_code::ok;
}

/// \brief Adds the accepted revision, as the platform holds it.
exit_code add_accepted(const parsed_line& line, json& records) {
    const auto accepted = load_accepted(line.values);
    if (!accepted) {
        return fail_load(line.to, accepted.error());
    }
    records.push_back({{"where", "platform"}, {"revision", (*accepted)->at().value()}});
    return exit_code::ok;
}

/// \brief Adds the revision in force at each daemon.
exit_code add_in_force(const parsed_line& line, json& records) {
    const auto target = admin_target_of(line.values);
    if (!target) {
        return fail(line.to, "", target.error(), exit_code::usage);
    }
    auto replies = ask_all(*target, read_request("configuration"));
    for (daemon_reply& reply : replies) {
        const auto at = revision_of(reply);
        if (at) {
            records.push_back({{"where", to_string(reply.daemon)}, {"revision", at->value()}});
        } else {
            reply.body = tl::unexpected(at.error());
        }
    }
    return report_failures(line.to, replies);
}

exit_code show_revision(const parsed_line& line) {
    const bool asks_platform = !list_value(line.values, "platform", "CICADAHATCH_PLATFORM").empty();
    const bool asks_daemons = !list_value(line.values, "admin", "CICADAHATCH_ADMIN").empty();
    if (!asks_platform && !asks_daemons) {
        return fail(line.to, "", errc::no_platform, exit_code::usage);
    }
    json records = json::array();
    exit_code code = asks_platform ? add_accepted(line, records) : exit_code::ok;
    if (asks_daemons) {
        code = std::max(code, add_in_force(line, records));
    }
    print_records(line.to, records);
    return code;
}

} // namespace

exit_code run_show(const argument_list& arguments, const terminal& to) {
    auto options = make_options(
        "show", "Shows the services, or the revision accepted and in force at each daemon.",
        "services|revision");
    options.add_options()("topic", "", cxxopts::value<std::string>()->default_value(""));
    options.parse_positional("topic");
    add_platform_option(options);
    add_admin_options(options);
    const parse_outcome parsed = parse(options, arguments, to);
    if (!parsed.line) {
        return parsed.stop;
    }
    const auto topic = parsed.line->values["topic"].as<std::string>();
    if (topic == "services") {
        return show_services(*parsed.line);
    }
    if (topic == "revision") {
        return show_revision(*parsed.line);
    }
    return fail_usage(to, "the topic is services or revision");
}

} // namespace cicadahatch::tool
