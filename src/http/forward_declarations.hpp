#pragma once

struct mg_connection;
struct mg_context;

namespace cicadahatch::http {

class client_connection;
class client_pool;
class exchange;
class response_stream;
class server;
class server_builder;
struct endpoint;

} // namespace cicadahatch::http
