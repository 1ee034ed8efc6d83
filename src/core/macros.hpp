#pragma once

#include <cstdio>
#include <cstdlib>

/// Stops the process with a telling name when a precondition of an internal interface is broken.
/// It stays active in release builds: a broken invariant must not go on to lose or repeat work.
#define CICADAHATCH_ASSERT(condition, telling_name)                                                \
    do {                                                                                           \
        if (!(condition)) {                                                                        \
            std::fprintf(stderr, "assertion %s failed: %s (%s:%d)\n", #telling_name, #condition,   \
                         __FILE__, __LINE__);                                                      \
            std::abort();                                                                          \
        }                                                                                          \
    } while (false)
