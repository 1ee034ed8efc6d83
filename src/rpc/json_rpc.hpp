#pragma once

// This header compiles as C++14, since the library behind it does not compile as C++17.

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadahatch {
namespace rpc {

/// \brief One JSON-RPC 2.0 call; the parameters are the text of a JSON object.
struct json_rpc_call {
    std::string method;
    std::string parameters;
};

/// Carries a request text to a peer and returns the text of its answer.
using json_rpc_transport = std::function<std::string(const std::string& request)>;

/// Answers a call: takes and returns JSON texts.
using json_rpc_method = std::function<std::string(const std::string& parameters)>;

/// \brief Sends calls as one JSON-RPC batch, or as a single call if there is one.
/// \returns whether all were answered without an error
bool call_json_rpc(const std::vector<json_rpc_call>& calls, const json_rpc_transport& transport);

/// \brief Answers JSON-RPC requests with named methods, each of which takes an object "f".
class json_rpc_dispatcher {
public:
    json_rpc_dispatcher();
    json_rpc_dispatcher(const json_rpc_dispatcher&) = delete;
    json_rpc_dispatcher& operator=(const json_rpc_dispatcher&) = delete;
    json_rpc_dispatcher(json_rpc_dispatcher&&) = delete;
    json_rpc_dispatcher& operator=(json_rpc_dispatcher&&) = delete;
    ~json_rpc_dispatcher();

    /// \brief Adds a method with one named parameter "f", an array of fields.
    void add(const std::string& method, json_rpc_method answered_by);
    /// \returns the answer to a request text, an error object for a bad one
    std::string handle(const std::string& request);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace rpc
} // namespace cicadahatch
