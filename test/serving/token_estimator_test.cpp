#include "src/serving/token_estimator.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;

constexpr int many_observations = 500;

struct estimator_fixture {
    serving::token_estimator estimator;
    model_id model{"pattern"};
};

} // namespace

TEST_CASE_FIXTURE(estimator_fixture, "tokens, empty prompt, are at least one") {
    CHECK(estimator.tokens(model, 0) == 1);
}

TEST_CASE_FIXTURE(estimator_fixture, "tokens, engine has counted, follow its ratio") {
    estimator.observe(model, 1000, 500);
    CHECK(estimator.tokens(model, 2000) == 1000);
}

TEST_CASE_FIXTURE(estimator_fixture, "tokens, ratio changes, converge to the new one") {
    estimator.observe(model, 1000, 1000);
    for (int count = 0; count < many_observations; ++count) {
        estimator.observe(model, 8000, 1000);
    }
    CHECK(estimator.tokens(model, 8000) == doctest::Approx(1000).epsilon(0.01));
}

TEST_CASE_FIXTURE(estimator_fixture, "tokens, one odd count, moves them by little") {
    estimator.observe(model, 4000, 1000);
    estimator.observe(model, 4000, 4000);
    CHECK(estimator.tokens(model, 4000) < 1100);
}

TEST_CASE_FIXTURE(estimator_fixture, "tokens, other model counted, are not changed") {
    const auto before = estimator.tokens(model, 1000);
    estimator.observe(model_id{"other"}, 1000, 1000);
    CHECK(estimator.tokens(model, 1000) == before);
}

TEST_CASE_FIXTURE(estimator_fixture, "observation, nothing counted, is ignored") {
    const auto before = estimator.tokens(model, 1000);
    estimator.observe(model, 1000, 0);
    estimator.observe(model, 0, 1000);
    CHECK(estimator.tokens(model, 1000) == before);
}
