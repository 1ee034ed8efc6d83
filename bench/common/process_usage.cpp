#include "bench/common/process_usage.hpp"

#include <fstream>
#include <string>
#include <unistd.h>

namespace cicadahatch::bench {

namespace {

std::string proc_file(pid_t process, const std::string& name) {
    return "/proc/" + std::to_string(process) + "/" + name;
}

} // namespace

long resident_kib(pid_t process) {
    std::ifstream file{proc_file(process, "status")};
    long kib = 0;
    for (std::string word; file >> word;) {
        if (word == "VmRSS:") {
            file >> kib;
            break;
        }
    }
    return kib;
}

std::chrono::microseconds processor_time(pid_t process) {
    constexpr int fields_before_utime = 13;
    constexpr long long microseconds_per_second = 1'000'000;
    std::ifstream file{proc_file(process, "stat")};
    std::string skipped;
    for (int field = 0; field < fields_before_utime; ++field) {
        file >> skipped;
    }
    long long user = 0;
    long long system = 0;
    file >> user >> system;
    const long long ticks_per_second = sysconf(_SC_CLK_TCK);
    return std::chrono::microseconds{(user + system) * microseconds_per_second / ticks_per_second};
}

} // namespace cicadahatch::bench
