#include "review/standins/record.hpp"

#include <iostream>

namespace review {

void record::write(const std::string& line) {
    const std::lock_guard lock{mutex_};
    const auto since = std::chrono::duration_cast<milliseconds>(clock::now() - began_).count();
    out_ << since << " ms " << line << std::endl;
}

} // namespace review
