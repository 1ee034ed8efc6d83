#include "review/standins-2/router.hpp"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace standins {

namespace {

using std::chrono::steady_clock;

constexpr int signal_status = 128;
constexpr unsigned status_ok = 200;
constexpr mode_t log_mode = 0644;

std::string local(unsigned short port) {
    return "127.0.0.1:" + std::to_string(port);
}

/// What deploy/settings.json holds, filled in with the bounds of mddma-hatch.
nlohmann::json bounds() {
    return {{"drain_ms", 2000},  {"configuration_ms", 2000}, {"stabilization_ms", 3000},
            {"shutdown_s", 8},   {"retry_ratio", 0.2},       {"retry_extra", 54},
            {"transit_ms", 120}, {"order_lease_ms", 3000},   {"engines_check_fencing", false}};
}

/// Becomes the program. It ends with this process at the latest.
[[noreturn]] void become(const std::string& program, const std::string& settings,
                         const std::string& log) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, log_mode);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    std::string first = program;
    std::string second = "--gateway";
    std::string third = settings;
    const std::array<char*, 4> arguments{first.data(), second.data(), third.data(), nullptr};
    execv(program.c_str(), arguments.data());
    _exit(signal_status);
}

} // namespace

router::router(std::string program, std::string folder, std::string name, std::string zone)
    : program_(std::move(program)), folder_(std::move(folder)), name_(std::move(name)),
      zone_(std::move(zone)) {}

router::~router() {
    end();
}

void router::end() {
    send_signal(SIGKILL);
    wait();
}

void router::start(const store& platform) {
    const nlohmann::json settings{
        {"name", name_},
        {"domain", zone_},
        {"callers", local(front_)},
        {"readiness", local(ready_)},
        {"peers", local(free_port())},
        {"registry", local(free_port())},
        {"metrics", local(free_port())},
        {"store",
         {{"address", platform.address()}, {"reads_per_second", 2000}, {"writes_per_second", 400}}},
        {"limits", {{"memory_mb", 110}, {"descriptors", 4100}}},
        {"bounds", bounds()}};
    const std::string file = folder_ + "/" + name_ + ".json";
    std::ofstream{file} << settings.dump();
    // The pipe ends as the program takes the place of this one's copy.
    std::array<int, 2> ends{};
    const bool has_pipe = pipe2(ends.data(), O_CLOEXEC) == 0;
    id_ = fork();
    if (id_ == 0) {
        become(program_, file, folder_ + "/" + name_ + ".log");
    }
    if (has_pipe) {
        char nothing = 0;
        close(ends[1]);
        static_cast<void>(read(ends[0], &nothing, 1) + 1);
        close(ends[0]);
    }
}

void router::send_signal(int number) const {
    if (id_ > 0) {
        kill(id_, number);
    }
}

int router::wait() {
    if (id_ <= 0) {
        return 0;
    }
    int status = 0;
    waitpid(id_, &status, 0);
    id_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_status + WTERMSIG(status);
}

bool router::has_ended() const {
    siginfo_t found{};
    return id_ > 0 &&
           waitid(P_PID, static_cast<id_t>(id_), &found, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           found.si_pid == id_;
}

bool router::is_ready() const {
    return get_status(ready_, "/cicadahatch/readiness") == status_ok;
}

bool eventually(const std::function<bool()>& holds, std::chrono::milliseconds limit) {
    const time_point until = steady_clock::now() + limit;
    while (!holds()) {
        if (steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return true;
}

} // namespace standins
