#include "src/serving/membership_network.hpp"

#include "src/serving/internal/checked_places.hpp"

#include <glog/logging.h>

namespace cicadahatch::serving {

membership_network::membership_network(daemon_id self, network_events events)
    : self_(std::move(self)), events_(std::move(events)),
      inbox_(std::make_unique<inbox>([this](const rpc::delivery& received) { handle(received); })) {
}

result<void> membership_network::start(const settings::daemon_settings& configured,
                                       incarnation started, const clock& time) {
    const auto place = http::parse_endpoint(configured.peers.address);
    if (!place) {
        return tl::unexpected(place.error());
    }
    const settings::listener& peers = configured.peers;
    membership::agent_builder builder;
    builder.named(self_, configured.domain, started)
        .listen_on(*place)
        .secret(configured.peer_secret)
        .threads(peers.threads)
        .tls({peers.tls_certificate, peers.tls_peer_ca}, {peers.tls_certificate, peers.tls_peer_ca})
        .seeds(internal::to_places(configured.seed_peers))
        .timed_by(time)
        .on_event([this](const membership::member_event& event) { note(event); })
        .on_payload([this](const rpc::payload& value) {
            started_.wait();
            events_.on_payload(value);
        })
        .on_message([this](rpc::delivery got) { inbox_->push(std::move(got)); })
        .on_loss([this](const daemon_id& peer, const std::vector<rpc::message>& lost,
                        const std::error_code& reason) {
            LOG_EVERY_N(WARNING, 20)
                << "membership: messages to " << peer.str() << " lost: " << reason.message();
            events_.on_loss(lost);
        });
    if (const auto advertised = http::parse_endpoint(configured.advertised_peers)) {
        builder.advertise(*advertised);
    }
    auto agent = builder.build();
    if (!agent) {
        return tl::unexpected(agent.error());
    }
    agent_ = std::move(*agent);
    started_.count_down();
    return {};
}

std::vector<daemon_id> membership_network::live_daemons(const domain_id& domain) const {
    std::vector<daemon_id> listed;
    if (agent_ == nullptr) {
        return listed;
    }
    for (const rpc::member_record& member : agent_->working_members(domain)) {
        listed.push_back(member.id);
    }
    return listed;
}

bool membership_network::send(const daemon_id& peer, rpc::message sent) {
    return agent_->send(peer, std::move(sent)).has_value();
}

void membership_network::handle(const rpc::delivery& received) {
    started_.wait();
    for (const rpc::message& one : received.messages) {
        events_.on_message(received.sender, one);
    }
}

void membership_network::note(const membership::member_event& event) {
    using membership::event_kind;
    started_.wait();
    const daemon_id& member = event.record.id;
    switch (event.kind) {
    case event_kind::joined:
        LOG(INFO) << "membership: " << member.str() << " joined";
        break;
    case event_kind::died:
        LOG(WARNING) << "membership: " << member.str() << " died";
        events_.on_death(member);
        break;
    case event_kind::left:
        LOG(INFO) << "membership: " << member.str() << " left";
        events_.on_death(member);
        break;
    case event_kind::leaving:
        LOG(INFO) << "membership: " << member.str() << " is leaving";
        break;
    case event_kind::self_replaced:
        LOG(ERROR) << "membership: a later start of this daemon exists";
        events_.on_replaced();
        break;
    case event_kind::self_declared_dead:
        LOG(WARNING) << "membership: others took this daemon for dead";
        break;
    case event_kind::suspected:
    case event_kind::recovered:
        VLOG(1) << "membership: " << member.str() << " suspected or recovered";
        break;
    }
}

} // namespace cicadahatch::serving
