#pragma once

#include "src/core/result.hpp"

#include <memory>
#include <string>
#include <string_view>

/// \file
/// \brief Raw deflate (RFC 1951) of the batches of one connection. Each batch refers to the ones
/// before it, so names that come again cost a few bytes.

namespace cicadahatch::rpc::internal {

/// \brief The sender's side. Batches must reach the peer's batch_inflater complete and in order.
class batch_deflater {
public:
    batch_deflater();
    batch_deflater(const batch_deflater&) = delete;
    batch_deflater& operator=(const batch_deflater&) = delete;
    batch_deflater(batch_deflater&&) = delete;
    batch_deflater& operator=(batch_deflater&&) = delete;
    ~batch_deflater();

    /// \returns the compressed batch, without the end mark of its last block
    [[nodiscard]] std::string deflate(std::string_view bytes);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// \brief The receiver's side, for bytes that anyone may have written.
class batch_inflater {
public:
    batch_inflater();
    batch_inflater(const batch_inflater&) = delete;
    batch_inflater& operator=(const batch_inflater&) = delete;
    batch_inflater(batch_inflater&&) = delete;
    batch_inflater& operator=(batch_inflater&&) = delete;
    ~batch_inflater();

    /// \returns the batch; errc::malformed, or errc::too_large over max_batch_bytes. After an
    /// error the connection is of no further use.
    [[nodiscard]] result<std::string> inflate(std::string_view bytes);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cicadahatch::rpc::internal
