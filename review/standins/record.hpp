#pragma once

#include "review/standins/wire.hpp"

#include <fstream>
#include <mutex>

namespace review {

/// \brief The record of a case: one line for each thing that was sent, answered or run, with the
/// milliseconds since the start.
class record {
public:
    explicit record(const std::string& file) : out_(file, std::ios::trunc) {}
    void write(const std::string& line);

private:
    std::mutex mutex_;
    std::ofstream out_;
    clock::time_point began_ = clock::now();
};

} // namespace review
