#include "test/support/child_program.hpp"

#include "cicadahatch/core"
#include "test/support/paths.hpp"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cicadahatch::test_support {

namespace {

constexpr std::string_view ready_word = "ready ";

std::vector<char*> argument_pointers(std::vector<std::string>& arguments) {
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

std::string read_line(int descriptor) {
    std::string line;
    char next = '\0';
    while (read(descriptor, &next, 1) == 1 && next != '\n') {
        line.push_back(next);
    }
    return line;
}

http::endpoint await_ready(int descriptor) {
    std::string line = read_line(descriptor);
    while (!line.empty() && line.rfind(ready_word, 0) != 0) {
        line = read_line(descriptor);
    }
    CICADAHATCH_ASSERT(!line.empty(), child_program_is_ready);
    const auto place = http::parse_endpoint(line.substr(ready_word.size()));
    CICADAHATCH_ASSERT(place.has_value(), child_program_prints_its_place);
    return *place;
}

} // namespace

child_program::child_program(const std::string& path, const std::vector<std::string>& arguments) {
    std::vector<std::string> words = {binary_dir() + "/" + path};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::array<int, 2> ends{};
    const int piped = pipe2(ends.data(), O_CLOEXEC);
    CICADAHATCH_ASSERT(piped == 0, child_program_has_a_pipe);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    const int started = posix_spawn(&pid_, words.front().c_str(), &actions, nullptr,
                                    argument_pointers(words).data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    CICADAHATCH_ASSERT(started == 0, child_program_starts);
    place_ = await_ready(ends[0]);
    close(ends[0]);
}

child_program::~child_program() {
    kill();
}

void child_program::signal(int number) const {
    CICADAHATCH_ASSERT(is_running(), signalled_program_runs);
    ::kill(pid_, number);
}

void child_program::kill() {
    if (is_running()) {
        ::kill(pid_, SIGKILL);
        wait();
    }
}

int child_program::wait() {
    CICADAHATCH_ASSERT(is_running(), awaited_program_runs);
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace cicadahatch::test_support
