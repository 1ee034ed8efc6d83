#pragma once

#include <chrono>
#include <sys/types.h>

namespace cicadahatch::bench {

/// \returns the resident memory of a process, in KiB
[[nodiscard]] long resident_kib(pid_t process);

/// \returns the processor time that a process has used, in user and in system mode
[[nodiscard]] std::chrono::microseconds processor_time(pid_t process);

} // namespace cicadahatch::bench
