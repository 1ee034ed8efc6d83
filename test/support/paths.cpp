#include "test/support/paths.hpp"

namespace cicadahatch::test_support {

std::string binary_dir() {
    return CICADAHATCH_BINARY_DIR;
}

std::string source_dir() {
    return CICADAHATCH_SOURCE_DIR;
}

} // namespace cicadahatch::test_support
