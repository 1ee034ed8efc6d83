#include "programs/cicadahatch/admin_client.hpp"
#include "programs/cicadahatch/command.hpp"
#include "programs/cicadahatch/faults.hpp"
#include "programs/cicadahatch/objectives.hpp"
#include "programs/cicadahatch/service_set.hpp"
#include "src/metrics/burn_page.hpp"

#include <chrono>

namespace cicadahatch::tool {

namespace {

/// \brief Merges the daemons' snapshots. A reply that holds none becomes an error.
metrics::snapshot merge_replies(std::vector<daemon_reply>& replies) {
    metrics::snapshot merged;
    merged.daemons = 0;
    for (daemon_reply& reply : replies) {
        if (!reply.body) {
            continue;
        }
        const auto taken = metrics::decode_snapshot(*reply.body);
        if (taken) {
            metrics::merge(merged, *taken);
        } else {
            reply.body = tl::unexpected(taken.error());
        }
    }
    return merged;
}

bool is_format(const std::string& name) {
    return name == "text" || name == "json" || name == "html";
}

std::string render(const metrics::burn_report& report, const std::string& format) {
    if (format == "json") {
        return metrics::render_json(report);
    }
    return format == "html" ? metrics::render_html(report) : metrics::render_text(report);
}

cxxopts::Options report_options() {
    auto options =
        make_options("report", "Reports service-level burn, merged over daemons.", "burn");
    options.add_options()("format", "text, json or html; default: text, or json by --output json",
                          cxxopts::value<std::string>(), "FORMAT");
    options.add_options()("services", "service files that state the objectives",
                          cxxopts::value<argument_list>(), "DIR[,..]");
    options.add_options()("topic", "", cxxopts::value<std::string>()->default_value(""));
    options.parse_positional("topic");
    add_admin_options(options);
    return options;
}

std::string format_of(const parsed_line& line) {
    if (line.values.count("format") > 0) {
        return line.values["format"].as<std::string>();
    }
    return line.to.format == output_format::json ? "json" : "text";
}

exit_code report_burn(const parsed_line& line, const std::string& format,
                      const std::vector<settings::service>& services) {
    const auto target = admin_target_of(line.values);
    if (!target) {
        return fail(line.to, "", target.error(), exit_code::usage);
    }
    auto replies = ask_all(*target, read_request("burn"));
    const metrics::snapshot merged = merge_replies(replies);
    const auto report = metrics::make_burn_report(merged, objectives_of(services),
                                                  std::chrono::system_clock::now());
    line.to.out << render(report, format) << '\n';
    return report_failures(line.to, replies);
}

} // namespace

exit_code run_report(const argument_list& arguments, const terminal& to) {
    auto options = report_options();
    const parse_outcome parsed = parse(options, arguments, to);
    if (!parsed.line) {
        return parsed.stop;
    }
    const cxxopts::ParseResult& values = parsed.line->values;
    if (values["topic"].as<std::string>() != "burn") {
        return fail_usage(to, "the topic is burn");
    }
    const std::string format = format_of(*parsed.line);
    if (!is_format(format)) {
        return fail_usage(to, "--format is text, json or html");
    }
    const auto named =
        values.count("services") > 0 ? values["services"].as<argument_list>() : argument_list{};
    const auto collected = collect_services(named);
    if (!collected.is_valid()) {
        print_faults(to, collected.errors);
        return exit_code::failed;
    }
    return report_burn(*parsed.line, format, collected.value);
}

} // namespace cicadahatch::tool
