#include "src/http/internal/library.hpp"

#include <civetweb.h>

namespace cicadahatch::http::internal {

void ensure_library() {
    static const unsigned features = mg_init_library(MG_FEATURES_TLS);
    static_cast<void>(features);
}

} // namespace cicadahatch::http::internal
