#pragma once

#include "src/core/identifiers.hpp"
#include "src/rpc/messages.hpp"

#include <vector>

namespace cicadahatch::rpc {

/// \brief Messages taken from one batch of one sender, in the order of sending.
struct delivery {
    daemon_id sender;
    incarnation sender_incarnation;
    std::vector<message> messages;
};

} // namespace cicadahatch::rpc
