#pragma once

#include "src/core/clock.hpp"
#include "src/metrics/request_recorder.hpp"
#include "src/scheduling/retry_budget.hpp"
#include "src/serving/attempt_runner.hpp"
#include "src/serving/backend_directory.hpp"
#include "src/serving/grant_broker.hpp"
#include "src/serving/request_naming.hpp"
#include "src/serving/token_estimator.hpp"
#include "src/settings/daemon_settings.hpp"

#include <mutex>

namespace cicadahatch::serving {

/// \brief The daemon's retry budget, shared by its requests.
struct shared_retry_budget {
    std::mutex mutex;
    scheduling::retry_budget budget;
};

/// \brief What the handlers of callers' requests share. All of it outlives them.
struct serving_context {
    const clock& time;
    const settings::daemon_settings& configured;
    backend_directory& directory;
    grant_broker& broker;
    attempt_runner& attempts;
    token_estimator& estimator;
    request_naming& naming;
    metrics::request_recorder& recorder;
    shared_retry_budget& retries;
};

} // namespace cicadahatch::serving
