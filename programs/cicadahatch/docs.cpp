#include "programs/cicadahatch/command.hpp"
#include "programs/cicadahatch/error.hpp"
#include "programs/cicadahatch/reference.hpp"

#include <fstream>
#include <iterator>

namespace cicadahatch::tool {

namespace {

exit_code update_page(const std::string& file, const terminal& to) {
    std::ifstream input(file);
    if (!input) {
        return fail(to, file, errc::unreadable_file);
    }
    const std::string page{std::istreambuf_iterator<char>(input), {}};
    const auto updated = replace_reference(page);
    if (!updated) {
        return fail(to, file, updated.error());
    }
    std::ofstream output(file, std::ios::trunc);
    output << *updated << std::flush;
    return output ? exit_code::ok : fail(to, file, errc::unwritable_file);
}

} // namespace

exit_code run_docs(const argument_list& arguments, const terminal& to) {
    auto options =
        make_options("docs", "Prints the reference of the settings in Markdown.", "configuration");
    options.add_options()("update", "replace the generated part of this page",
                          cxxopts::value<std::string>(), "FILE");
    options.add_options()("topic", "", cxxopts::value<std::string>()->default_value(""));
    options.parse_positional("topic");
    const parse_outcome parsed = parse(options, arguments, to);
    if (!parsed.line) {
        return parsed.stop;
    }
    if (parsed.line->values["topic"].as<std::string>() != "configuration") {
        return fail_usage(to, "the topic is configuration");
    }
    if (parsed.line->values.count("update") > 0) {
        return update_page(parsed.line->values["update"].as<std::string>(), to);
    }
    to.out << configuration_reference() << '\n';
    return exit_code::ok;
}

} // namespace cicadahatch::tool
