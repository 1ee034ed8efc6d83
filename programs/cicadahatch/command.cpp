#include "programs/cicadahatch/command.hpp"

#include <algorithm>
#include <array>
#include <iomanip>

namespace cicadahatch::tool {

namespace {

constexpr int name_width = 12;

struct command {
    const char* name;
    const char* summary;
    exit_code (*run)(const argument_list&, const terminal&);
};

constexpr std::array commands{
    command{"check", "check service files and daemon settings", run_check},
    command{"publish", "put service files into force", run_publish},
    command{"show", "show the services or the revision in force", run_show},
    command{"status", "show the state of daemons", run_status},
    command{"cells", "show the cells whose home the daemons are", run_cells},
    command{"engines", "show the backend servers as the daemons see them", run_engines},
    command{"members", "show the daemons that the daemons see", run_members},
    command{"drain", "take a backend server or a daemon out of service", run_drain},
    command{"log-level", "set the least severity that daemons log", run_log_level},
    command{"report", "report service-level burn", run_report},
    command{"explain", "tell from logs what became of a request", run_explain},
    command{"docs", "print the reference of the settings", run_docs},
};

void print_help(std::ostream& out) {
    out << "Operates cicadahatch.\n"
           "Usage:\n"
           "  cicadahatch [--output json|table] COMMAND [OPTION...]\n\n"
           "Commands (cicadahatch COMMAND --help shows a command's options):\n";
    for (const command& entry : commands) {
        out << "  " << std::left << std::setw(name_width) << entry.name << entry.summary << '\n';
    }
    out << "\nExit status: 0 done, 1 failed or faults found, 2 wrong usage, 3 conflict,\n"
           "4 not reached or not in force everywhere.\n";
}

/// \brief Moves options that stand before the command behind it, where the command parses them.
argument_list command_first(argument_list arguments) {
    std::size_t count = 0;
    while (count < arguments.size() && arguments[count].starts_with("--output")) {
        count += arguments[count] == "--output" ? 2 : 1;
    }
    const std::size_t moved = std::min(count, arguments.size());
    std::rotate(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(moved),
                arguments.end());
    return arguments;
}

} // namespace

int run(const argument_list& arguments, std::ostream& out, std::ostream& err) {
    const terminal to{out, err, output_format::table};
    const argument_list ordered = command_first(arguments);
    if (ordered.empty()) {
        print_help(err);
        return static_cast<int>(exit_code::usage);
    }
    if (ordered.front() == "--help" || ordered.front() == "-h") {
        print_help(out);
        return static_cast<int>(exit_code::ok);
    }
    const auto found = std::find_if(commands.begin(), commands.end(), [&](const command& entry) {
        return ordered.front() == entry.name;
    });
    if (found == commands.end()) {
        return static_cast<int>(fail_usage(to, "no command " + ordered.front()));
    }
    return static_cast<int>(found->run({ordered.begin() + 1, ordered.end()}, to));
}

} // namespace cicadahatch::tool
