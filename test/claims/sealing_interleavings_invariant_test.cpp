#include "test/claims/interleavings.hpp"

using cicadahatch::test_support::check;

TEST_CASE("claims, another key seals the head, run at most once") {
    check({{"a", "b", "a"}, 0, true}, false);
}
