#pragma once

#include "src/configuration/holder.hpp"
#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/rpc/messages.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cicadahatch::serving {

/// \brief Gets accepted configuration from peers and hands it on to them. Safe for threads.
///
/// Peers spread the revision that they have; a daemon that has a lower one asks one of them after
/// another for what it lacks.
class configuration_exchange {
public:
    using sender = std::function<void(const daemon_id& to, rpc::message sent)>;

    configuration_exchange(const clock& time, configuration::holder& own, sender send)
        : time_(time), own_(own), send_(std::move(send)) {}

    /// \returns whether some peer is known to have a higher revision
    [[nodiscard]] bool is_behind() const;

    /// \brief Notes a revision that some peer has.
    void note_revision(revision known);

    /// \brief Asks the next peer, if this daemon is behind and no request is under way.
    /// \param peers live daemons other than this one, in the order to ask them in
    void tick(const std::vector<daemon_id>& peers);

    /// \brief Answers a peer's request.
    void answer(const daemon_id& from, const rpc::fetch_configuration& asked);

    /// \brief Takes in a piece of a peer's answer.
    void take(const daemon_id& from, const rpc::configuration_shard& piece);

private:
    struct partial_answer {
        revision accepted;
        std::map<std::uint32_t, std::string> pieces;
    };

    [[nodiscard]] std::string join(const daemon_id& from, const rpc::configuration_shard& piece);
    void merge(const daemon_id& from, const std::string& bytes);

    const clock& time_;
    configuration::holder& own_;
    sender send_;
    mutable std::mutex mutex_;
    revision known_;
    time_point asked_at_;
    std::size_t next_peer_ = 0;
    bool wants_whole_ = false; ///< changes alone did not fit; the whole is asked for next
    std::map<daemon_id, partial_answer> partial_;
};

} // namespace cicadahatch::serving
