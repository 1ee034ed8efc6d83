#pragma once

#include <boost/asio/error.hpp>

namespace cicadahatch::http {

/// \brief Whether a response that ends with the connection was cut off.
///
/// A failed connection reports its error once. If the write of the request received it, reads see
/// an ordinary end of the stream. After the server has ended its side, the write fails with
/// broken_pipe instead. \param parser of the response \param write_error with which writing the
/// request failed, if it did
template <class Parser>
[[nodiscard]] bool is_truncated(const Parser& parser,
                                const boost::system::error_code& write_error) {
    return write_error && write_error != boost::asio::error::broken_pipe && parser.need_eof();
}

} // namespace cicadahatch::http
