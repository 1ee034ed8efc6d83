#include "test/claims/interleavings.hpp"

using cicadahatch::test_support::check;
using cicadahatch::test_support::worst_fates;

TEST_CASE("claims, two claimers of a key and one fault, run at most once") {
    check({{"a", "a"}, 1, false}, true);
}

TEST_CASE("claims, two claimers of a key and two faults, run at most once") {
    check({{"a", "a"}, 2, false, worst_fates}, true);
}

TEST_CASE("claims, two claimers while the head is sealed and one fault, run at most once") {
    check({{"a", "a"}, 1, true}, true);
}

TEST_CASE("claims, three claimers without faults, run at most once") {
    check({{"a", "a", "a"}, 0, false}, false);
}
