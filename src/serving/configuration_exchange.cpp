#include "src/serving/configuration_exchange.hpp"

#include "src/configuration/peer_exchange.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace cicadahatch::serving {

namespace {

constexpr std::size_t piece_bytes = 64UL * 1024;
constexpr std::uint32_t max_pieces = 4096;
constexpr std::chrono::milliseconds answer_wait{500};

std::vector<rpc::configuration_shard> to_pieces(revision accepted, const std::string& bytes) {
    const std::size_t count =
        std::max<std::size_t>(1, (bytes.size() + piece_bytes - 1) / piece_bytes);
    std::vector<rpc::configuration_shard> pieces;
    for (std::size_t index = 0; index < count; ++index) {
        rpc::configuration_shard piece;
        piece.accepted = accepted;
        piece.index = static_cast<std::uint32_t>(index);
        piece.count = static_cast<std::uint32_t>(count);
        piece.value = bytes.substr(index * piece_bytes, piece_bytes);
        pieces.push_back(std::move(piece));
    }
    return pieces;
}

} // namespace

bool configuration_exchange::is_behind() const {
    const std::lock_guard lock{mutex_};
    return known_ > own_.at();
}

void configuration_exchange::note_revision(revision known) {
    const std::lock_guard lock{mutex_};
    if (known > known_) {
        known_ = known;
        next_peer_ = 0;
        asked_at_ = {}; // an answer under way is to an older question
    }
}

void configuration_exchange::tick(const std::vector<daemon_id>& peers) {
    daemon_id asked;
    revision own = own_.at();
    {
        const std::lock_guard lock{mutex_};
        const time_point now = time_.now();
        const bool is_wanted = known_ > own || own.empty() || wants_whole_;
        if (!is_wanted || peers.empty() || now - asked_at_ < answer_wait) {
            return;
        }
        asked_at_ = now;
        asked = peers[next_peer_ % peers.size()];
        ++next_peer_;
        own = wants_whole_ ? revision{} : own;
        wants_whole_ = false;
    }
    send_(asked, rpc::fetch_configuration{own});
}

void configuration_exchange::answer(const daemon_id& from, const rpc::fetch_configuration& asked) {
    const auto held = own_.current();
    if (held == nullptr) {
        return;
    }
    const auto bytes = configuration::encode_since(*held, asked.newer_than);
    if (!bytes) {
        return;
    }
    for (rpc::configuration_shard& piece : to_pieces(held->at(), *bytes)) {
        send_(from, std::move(piece));
    }
}

void configuration_exchange::take(const daemon_id& from, const rpc::configuration_shard& piece) {
    const std::string whole = join(from, piece);
    if (!whole.empty()) {
        merge(from, whole);
    }
}

std::string configuration_exchange::join(const daemon_id& from,
                                         const rpc::configuration_shard& piece) {
    if (piece.count == 0 || piece.count > max_pieces || piece.index >= piece.count) {
        return {};
    }
    const std::lock_guard lock{mutex_};
    partial_answer& partial = partial_[from];
    if (partial.accepted != piece.accepted || piece.index == 0) {
        partial = {piece.accepted, {}};
    }
    partial.pieces[piece.index] = piece.value;
    if (partial.pieces.size() < piece.count) {
        return {};
    }
    std::string whole;
    for (const auto& [index, part] : partial.pieces) {
        whole += part;
    }
    partial_.erase(from);
    return whole;
}

void configuration_exchange::merge(const daemon_id& from, const std::string& bytes) {
    const auto merged = configuration::merge_from_peer(own_, bytes);
    if (merged) {
        return;
    }
    LOG_EVERY_N(WARNING, 10) << "configuration: answer of " << from.str()
                             << " not taken: " << merged.error().message();
    const std::lock_guard lock{mutex_};
    wants_whole_ = true;
}

} // namespace cicadahatch::serving
