#include "review/standins/router.hpp"

#include "review/standins/client.hpp"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char* program = "target/programs/cicadahatchd";
constexpr milliseconds start_time{15'000};
constexpr milliseconds poll_period{50};
constexpr milliseconds memory_period{5};
constexpr int memory_mb_of_the_site = 110;
constexpr int log_mode = 0644;

/// The fields of deploy/settings.json with the bounds of the installation's sheet.
json settings_of(const std::string& name, std::uint16_t callers, std::uint16_t readiness,
                 const std::string& store_place) {
    return {{"name", name},
            {"domain", "a"},
            {"callers", place_of(callers)},
            {"readiness", place_of(readiness)},
            {"peers", place_of(free_port())},
            {"registry", place_of(free_port())},
            {"metrics", place_of(free_port())},
            {"store",
             {{"address", store_place}, {"reads_per_second", 2000}, {"writes_per_second", 400}}},
            {"limits", {{"memory_mb", memory_mb_of_the_site}, {"descriptors", 4100}}},
            {"bounds",
             {{"drain_ms", 2000},
              {"configuration_ms", 2000},
              {"shutdown_s", 8},
              {"retry_ratio", 0.2},
              {"retry_extra", 54},
              {"transit_ms", 120},
              {"order_lease_ms", 3000},
              {"engines_check_fencing", false}}}};
}

} // namespace

router::router(record& notes, std::string folder, const std::string& store_place, std::string name)
    : notes_(notes), folder_(std::move(folder)), name_(std::move(name)) {
    std::ofstream{folder_ + "/" + name_ + ".json"}
        << settings_of(name_, callers_, readiness_, store_place).dump(4);
}

void router::stop() {
    is_closing_ = true;
    if (process_ > 0) {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
        process_ = 0;
    }
    if (watch_.joinable()) {
        watch_.join();
    }
}

bool router::is_ready() const {
    call asked;
    asked.method = "GET";
    asked.path = "/cicadahatch/readiness";
    return send_once(readiness_, asked, milliseconds{1000}).status == 200;
}

bool router::start() {
    const std::string settings = folder_ + "/" + name_ + ".json";
    const std::string log = folder_ + "/" + name_ + ".log";
    std::string name = program;
    std::string flag = "--gateway";
    std::string file = settings;
    std::array<char*, 4> arguments{name.data(), flag.data(), file.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failed =
        posix_spawn(&process_, program, &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        process_ = 0;
        notes_.write("the daemon could not be started");
        return false;
    }
    const auto until = clock::now() + start_time;
    while (clock::now() < until) {
        if (is_ready()) {
            notes_.write(name_ + " is ready");
            return true;
        }
        std::this_thread::sleep_for(poll_period);
    }
    notes_.write("the daemon was not ready in time");
    return false;
}

void router::signal(int number, const std::string& name) const {
    ::kill(process_, number);
    notes_.write("machine: " + name);
}

bool router::is_running() const {
    siginfo_t ended{};
    const auto id = static_cast<id_t>(process_);
    return process_ > 0 && ::waitid(P_PID, id, &ended, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           ended.si_pid == 0;
}

int router::memory_mb() const {
    std::ifstream pages{"/proc/" + std::to_string(process_) + "/statm"};
    std::int64_t size = 0;
    std::int64_t resident = 0;
    pages >> size >> resident;
    constexpr std::int64_t bytes_per_mb = 1'048'576;
    return static_cast<int>(resident * ::sysconf(_SC_PAGESIZE) / bytes_per_mb);
}

void router::enforce_memory(int limit_mb) {
    watch_ = std::thread{[this, limit_mb] {
        while (!is_closing_ && !was_killed_for_memory_) {
            const int held = memory_mb();
            most_memory_mb_ = std::max<int>(most_memory_mb_, held);
            if (held > limit_mb) {
                was_killed_for_memory_ = true;
                ::kill(process_, SIGKILL);
                notes_.write("machine: the daemon holds " + std::to_string(held) +
                             " MB and is killed for it");
            }
            std::this_thread::sleep_for(memory_period);
        }
    }};
}

} // namespace review
