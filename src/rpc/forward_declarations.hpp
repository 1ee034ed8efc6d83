#pragma once

namespace cicadahatch::rpc {

class peer_link;
class peer_link_builder;
class peer_links;
class peer_server;
class peer_server_builder;
class sequence_filter;
struct batch;
struct delivery;
struct traffic;

} // namespace cicadahatch::rpc
