#include "test/support/process.hpp"

#include "test/support/require.hpp"

#include <array>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

// NOLINTNEXTLINE(readability-redundant-declaration): POSIX leaves the declaration to the program
extern char** environ;

namespace cicadahatch::test_support {

namespace {

constexpr int ready_timeout_ms = 20'000;
constexpr int signal_status = 128;
constexpr mode_t output_mode = 0644;

std::vector<char*> to_argv(const std::vector<std::string>& arguments) {
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string& argument : arguments) {
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast): posix_spawn changes nothing
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    return argv;
}

std::string read_line(int descriptor) {
    std::string line;
    pollfd waiting{descriptor, POLLIN, 0};
    while (poll(&waiting, 1, ready_timeout_ms) > 0) {
        char next = '\0';
        if (read(descriptor, &next, 1) != 1 || next == '\n') {
            break;
        }
        line.push_back(next);
    }
    return line;
}

} // namespace

process::process(const std::vector<std::string>& arguments, const std::string& output) {
    std::array<int, 2> pipe_ends{};
    const int piped = pipe2(pipe_ends.data(), O_CLOEXEC);
    require(piped == 0, "pipe_is_open");
    spawn(arguments, pipe_ends[1], output);
    close(pipe_ends[1]);
    read_ready_line(pipe_ends[0]);
    close(pipe_ends[0]);
}

process process::start(const std::vector<std::string>& arguments, const std::string& output) {
    const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, output_mode);
    require(file >= 0, "output_is_open");
    process started;
    started.spawn(arguments, file, output);
    close(file);
    return started;
}

void process::spawn(const std::vector<std::string>& arguments, int output,
                    const std::string& errors) {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    if (!errors.empty()) {
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errors.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, output_mode);
    }
    std::vector<char*> argv = to_argv(arguments);
    const int spawned = posix_spawn(&id_, argv.front(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    require(spawned == 0, "program_is_started");
}

process::process(process&& other) noexcept
    : id_(std::exchange(other.id_, -1)), places_(std::move(other.places_)) {}

process& process::operator=(process&& other) noexcept {
    if (this != &other) {
        kill();
        id_ = std::exchange(other.id_, -1);
        places_ = std::move(other.places_);
    }
    return *this;
}

process::~process() {
    kill();
}

const http::endpoint& process::place(const std::string& listener) const {
    const auto found = places_.find(listener);
    require(found != places_.end(), "listener_is_known");
    return found->second;
}

void process::send_signal(int signal) const {
    if (id_ <= 0) {
        return;
    }
    ::kill(id_, signal);
    if (signal == SIGSTOP) {
        // The process runs on until each of its threads has been interrupted.
        siginfo_t change{};
        waitid(P_PID, static_cast<id_t>(id_), &change, WSTOPPED | WEXITED | WNOWAIT);
    }
}

void process::kill() {
    if (id_ > 0) {
        send_signal(SIGKILL);
        wait();
    }
}

int process::wait() {
    if (id_ <= 0) {
        return 0;
    }
    int status = 0;
    waitpid(id_, &status, 0);
    id_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_status + WTERMSIG(status);
}

void process::read_ready_line(int descriptor) {
    std::istringstream words{read_line(descriptor)};
    std::string word;
    words >> word;
    require(word == "ready", "program_is_ready");
    while (words >> word) {
        const std::size_t equals = word.find('=');
        const bool is_named = equals != std::string::npos;
        const std::string name = is_named ? word.substr(0, equals) : std::string{};
        const auto place = http::parse_endpoint(is_named ? word.substr(equals + 1) : word);
        require(place.has_value(), "ready_line_names_endpoints");
        places_[name] = *place;
    }
}

} // namespace cicadahatch::test_support
