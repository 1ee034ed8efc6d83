// CMake compiles the precompiled headers with the first unit that uses them.
#include "test/support/precompiled.hpp"
