// The one unit that carries doctest's implementation and the main function of all test programs.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
