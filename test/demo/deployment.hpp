#pragma once

#include "test/support/cluster.hpp"

#include <string>
#include <vector>

namespace demo {

/// \brief One of the two deployments shown.
struct deployment {
    std::string name;
    std::string model_service; ///< also the model's name
    std::string plain_service;
    std::string orders_path; ///< below the plain service; a POST to it runs at most once
    std::string domain;
    std::string urgent_token;
};

/// \returns the Association and the Utility, described by the files below examples/
[[nodiscard]] const std::vector<deployment>& deployments();

/// \brief Starts backend servers of both deployments and publishes their service files, with the
/// addresses replaced by those of the started servers.
void start_backends(cicadahatch::test_support::cluster& running);

} // namespace demo
