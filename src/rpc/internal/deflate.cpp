#include "src/rpc/internal/deflate.hpp"

#include "src/core/macros.hpp"
#include "src/rpc/constants.hpp"
#include "src/rpc/error.hpp"

#include <algorithm>
#include <array>
#include <zlib.h>

namespace cicadahatch::rpc::internal {

namespace {

/// A window of 4 KB, in raw form; with the memory level a sender holds 24 KB and a receiver 11 KB.
constexpr int window_bits = -12;
constexpr int memory_level = 4;

constexpr std::size_t chunk_bytes = 2'048;

/// Ends each flush of the compressor; as in RFC 7692 it does not travel.
constexpr std::array<char, 4> flush_mark{'\x00', '\x00', '\xff', '\xff'};

/// zlib's interface takes bytes that it only reads as mutable.
void set_input(z_stream& stream, std::string_view bytes) {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast,cppcoreguidelines-pro-type-const-cast)
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
}

void set_output(z_stream& stream, std::array<char, chunk_bytes>& chunk) {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = static_cast<uInt>(chunk.size());
}

} // namespace

struct batch_deflater::state {
    z_stream stream{};
};

batch_deflater::batch_deflater() : state_(std::make_unique<state>()) {
    const int begun = deflateInit2(&state_->stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED, window_bits,
                                   memory_level, Z_DEFAULT_STRATEGY);
    CICADAHATCH_ASSERT(begun == Z_OK, compressor_is_ready);
}

batch_deflater::~batch_deflater() {
    deflateEnd(&state_->stream);
}

std::string batch_deflater::deflate(std::string_view bytes) {
    z_stream& stream = state_->stream;
    std::array<char, chunk_bytes> chunk{};
    std::string compressed;
    set_input(stream, bytes);
    do {
        set_output(stream, chunk);
        ::deflate(&stream, Z_SYNC_FLUSH);
        compressed.append(chunk.data(), chunk.size() - stream.avail_out);
    } while (stream.avail_out == 0);
    compressed.resize(compressed.size() - flush_mark.size());
    return compressed;
}

struct batch_inflater::state {
    [[nodiscard]] std::error_code append_inflated(std::string_view bytes, std::string& inflated);

    z_stream stream{};
};

batch_inflater::batch_inflater() : state_(std::make_unique<state>()) {
    const int begun = inflateInit2(&state_->stream, window_bits);
    CICADAHATCH_ASSERT(begun == Z_OK, decompressor_is_ready);
}

batch_inflater::~batch_inflater() {
    inflateEnd(&state_->stream);
}

std::error_code batch_inflater::state::append_inflated(std::string_view bytes,
                                                       std::string& inflated) {
    std::array<char, chunk_bytes> chunk{};
    set_input(stream, bytes);
    do {
        set_output(stream, chunk);
        const int outcome = ::inflate(&stream, Z_SYNC_FLUSH);
        // Without input or room left zlib says Z_BUF_ERROR, which is no fault.
        if (outcome != Z_OK && outcome != Z_BUF_ERROR) {
            return errc::malformed;
        }
        inflated.append(chunk.data(), chunk.size() - stream.avail_out);
        if (inflated.size() > max_batch_bytes) {
            return errc::too_large;
        }
    } while (stream.avail_out == 0);
    return stream.avail_in == 0 ? std::error_code{} : errc::malformed;
}

result<std::string> batch_inflater::inflate(std::string_view bytes) {
    std::string inflated;
    for (const std::string_view part : {bytes, {flush_mark.data(), flush_mark.size()}}) {
        if (const std::error_code error = state_->append_inflated(part, inflated)) {
            return tl::unexpected(error);
        }
    }
    return inflated;
}

} // namespace cicadahatch::rpc::internal
