#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/core/result.hpp"
#include "src/membership/forward_declarations.hpp"
#include "src/membership/gossip_state.hpp"
#include "src/membership/member_event.hpp"
#include "src/rpc/peer_links.hpp"
#include "src/rpc/peer_server.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::membership {

/// Called on the agent's thread for each change, in order; must not block for long.
using event_handler = std::function<void(const member_event&)>;

/// Called on a connection's thread with the messages that are not membership's; must queue them
/// and return.
using message_handler = rpc::delivery_handler;

/// Called on the agent's thread when a spread value was learnt or replaced.
using payload_handler = std::function<void(const payload&)>;

/// \brief One member of the system: listener, links and the thread that runs the gossip.
/// All functions are safe for use by threads and return at once.
/// \sa agent_builder
class agent {
public:
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;
    agent(agent&&) = delete;
    agent& operator=(agent&&) = delete;
    /// Ends without a word, as a crash would; see leave().
    ~agent();

    /// \returns this process as the others see it
    [[nodiscard]] member_record self() const;
    /// \returns present members of a domain, this process included; empty for a domain cut off
    [[nodiscard]] std::vector<member_record> live_members(const domain_id& domain) const;
    /// \returns those of them that take new work
    [[nodiscard]] std::vector<member_record> working_members(const domain_id& domain) const;
    /// \returns the foreign domains ever seen
    [[nodiscard]] std::vector<domain_id> known_domains() const;
    [[nodiscard]] bool is_cut_off(const domain_id& domain) const;
    /// \returns all spread values of a kind
    [[nodiscard]] std::vector<payload> payloads(payload_kind kind) const;
    [[nodiscard]] bool is_leaving_backend(const backend_id& backend, incarnation started) const;
    [[nodiscard]] gossip_counts counts() const;
    /// \returns what links and listener have carried
    [[nodiscard]] rpc::traffic carried() const;

    /// \brief Sends a message to a member.
    /// \returns errc::unknown_member, or the link's error; later loss goes to the loss handler
    [[nodiscard]] result<void> send(const daemon_id& peer, rpc::message content,
                                    rpc::urgency how = rpc::urgency::prompt);

    /// \brief Spreads a value; see membership::set_payload.
    /// \returns the version under which it is spread
    std::uint64_t set_payload(payload_kind kind, std::string key, std::uint64_t version,
                              std::string value);
    /// \brief Tells everyone that an incarnation of a backend server takes no new work.
    void announce_leaving_backend(const backend_id& backend, incarnation started);
    /// \brief Tells everyone that this process takes no new work.
    void announce_leaving();
    /// \brief Tells the neighbours that this process ends; nothing but sending follows.
    void leave();
    /// \brief Replaces the listeners that may be members, as the platform lists them.
    void set_seeds(std::vector<http::endpoint> seeds);

private:
    friend class agent_builder;
    struct state;
    explicit agent(std::unique_ptr<state> built);

    std::unique_ptr<state> state_;
};

/// \brief Builds an agent.
class agent_builder {
public:
    agent_builder& named(daemon_id self, domain_id domain, incarnation started);
    /// \param place port 0 picks a free one
    agent_builder& listen_on(http::endpoint place);
    /// \param place where other members reach the listener; not called: where it listens
    agent_builder& advertise(http::endpoint place);
    agent_builder& secret(std::string shared);
    agent_builder& tls(http::tls_files listener, http::client_tls links);
    /// \param count worker threads; each incoming link holds one
    agent_builder& threads(int count);
    agent_builder& seeds(std::vector<http::endpoint> places);
    /// \param source outlives the agent
    agent_builder& timed_by(const clock& source);
    agent_builder& on_event(event_handler called);
    agent_builder& on_payload(payload_handler called);
    agent_builder& on_message(message_handler called);
    agent_builder& on_loss(rpc::peer_loss_handler called);

    /// \returns a running agent, or rpc::errc::listener_failed
    [[nodiscard]] result<std::unique_ptr<agent>> build() const;

private:
    friend class agent;
    member_record self_;
    std::optional<http::endpoint> advertised_;
    std::string secret_;
    http::tls_files listener_tls_;
    http::client_tls link_tls_;
    int threads_ = 128;
    std::vector<http::endpoint> seeds_;
    const clock* clock_ = nullptr;
    event_handler on_event_;
    payload_handler on_payload_;
    message_handler on_message_;
    rpc::peer_loss_handler on_loss_;
};

} // namespace cicadahatch::membership
