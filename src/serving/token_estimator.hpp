#pragma once

#include "src/core/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

namespace cicadahatch::serving {

/// \brief Estimates a prompt's tokens from its bytes, corrected by what engines count.
/// Safe for use by threads.
class token_estimator {
public:
    /// \returns the expected number of tokens; at least one
    [[nodiscard]] std::uint32_t tokens(const model_id& model, std::size_t bytes) const;

    /// \brief Takes in what an engine counted.
    void observe(const model_id& model, std::size_t bytes, std::uint32_t tokens);

private:
    mutable std::mutex mutex_;
    std::map<model_id, double> bytes_per_token_;
};

} // namespace cicadahatch::serving
