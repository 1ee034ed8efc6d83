#include "src/gateway/lost_configuration.hpp"

#include "src/gateway/constants.hpp"

namespace cicadahatch::gateway {

void lost_configuration::keep_newest(const store::entry& entry, std::uint64_t version) {
    if (version < newest_version_) {
        return;
    }
    newest_version_ = version;
    newest_.reset();
    if (entry.value.size() <= max_published_bytes) {
        newest_ = entry;
    }
}

void lost_configuration::record_stored(const store::entry& entry, std::uint64_t version) {
    stored_version_ = version;
    keep_newest(entry, version);
}

void lost_configuration::record_received(const store::entry& entry, std::uint64_t version) {
    keep_newest(entry, version);
}

const store::entry* lost_configuration::find() const {
    return newest_ && stored_version_ < newest_version_ ? &*newest_ : nullptr;
}

std::uint64_t lost_configuration::version() const {
    return find() == nullptr ? 0 : newest_version_;
}

} // namespace cicadahatch::gateway
