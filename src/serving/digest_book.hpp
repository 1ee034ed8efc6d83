#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/scheduling/cell_choice.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadahatch::serving {

/// \returns a digest as it is spread among daemons, in CBOR
[[nodiscard]] std::string encode_digest(const scheduling::cell_digest& told);

/// \brief Reads a spread digest.
/// \param taken_at when it came
/// \returns nothing if the bytes are no digest
[[nodiscard]] std::optional<scheduling::cell_digest> decode_digest(std::string_view bytes,
                                                                   time_point taken_at);

/// \brief The latest digest of each cell that this daemon has heard of. Safe for use by threads.
class digest_book {
public:
    /// \brief Takes in a digest that replaces the cell's former one.
    void note(scheduling::cell_digest told);

    /// \brief Drops the cells that are not configured any more.
    void keep_only(const std::vector<cell_id>& configured);

    /// \param configured cells that count as idle while nothing is heard of them
    /// \returns digests of a model's cells
    [[nodiscard]] std::vector<scheduling::cell_digest>
    digests_of(const model_id& model, const std::vector<scheduling::cell_digest>& configured) const;

private:
    mutable std::mutex mutex_;
    std::map<cell_id, scheduling::cell_digest> digests_;
};

} // namespace cicadahatch::serving
