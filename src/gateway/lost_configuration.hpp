#pragma once

#include "src/store/key_value_store.hpp"

#include <cstdint>
#include <optional>

namespace cicadahatch::gateway {

/// \brief The newest configuration that any daemon has read from a store which may come back from
/// an older copy.
///
/// While the store shows an earlier version, daemons pass it on to each other, since one that
/// starts then reads only the copy.
class lost_configuration {
public:
    /// \brief Records the version that the store shows. An entry too large to be passed on is not
    /// kept.
    void record_stored(const store::entry& entry, std::uint64_t version);

    /// \brief Records a configuration that another daemon has passed on.
    void record_received(const store::entry& entry, std::uint64_t version);

    /// \returns the configuration that the store has lost, or null
    [[nodiscard]] const store::entry* find() const;
    /// \returns its version; zero if the store has lost none
    [[nodiscard]] std::uint64_t version() const;

private:
    void keep_newest(const store::entry& entry, std::uint64_t version);

    std::optional<store::entry> newest_;
    std::uint64_t newest_version_ = 0;
    std::uint64_t stored_version_ = 0;
};

} // namespace cicadahatch::gateway
