#pragma once

namespace cicadahatch::tool {

/// \brief What the tool's exit status tells a shell.
enum class exit_code : int {
    ok = 0,
    failed = 1,      ///< faults were found, or an operation was refused
    usage = 2,       ///< the command line is wrong
    conflict = 3,    ///< others changed what would be published
    unreachable = 4, ///< a process was not reached, or a change is not in force everywhere
};

} // namespace cicadahatch::tool
