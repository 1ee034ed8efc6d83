#pragma once

namespace cicadahatch::membership {

class agent;
class agent_builder;
struct gossip_state;
struct member;
struct member_event;
struct outgoing;
struct payload_row;

} // namespace cicadahatch::membership
