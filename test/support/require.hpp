#pragma once

#include <stdexcept>

namespace cicadahatch::test_support {

/// \brief Ends the running test by an exception, so that its processes are ended too.
inline void require(bool condition, const char* telling_name) {
    if (!condition) {
        throw std::logic_error(telling_name);
    }
}

} // namespace cicadahatch::test_support
