#include "test/demo/tool.hpp"

#include "test/support/paths.hpp"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace demo {

bool run_tool(const std::vector<std::string>& arguments) {
    std::vector<std::string> words{cicadahatch::test_support::binary_dir() +
                                   "/programs/cicadahatch"};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (std::string& word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    pid_t child = -1;
    if (posix_spawn(&child, argv.front(), nullptr, nullptr, argv.data(), environ) != 0) {
        return false;
    }
    int status = 0;
    return waitpid(child, &status, 0) == child && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

} // namespace demo
