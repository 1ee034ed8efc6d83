#include "src/rpc/json_rpc.hpp"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <map>

namespace cicadahatch {
namespace rpc {

namespace {

Json::Value parsed(const std::string& text) {
    Json::Value value;
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

std::string rendered(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

class connector final : public jsonrpc::IClientConnector {
public:
    explicit connector(const json_rpc_transport& transport) : transport_(transport) {}
    void SendRPCMessage(const std::string& message, std::string& result) // NOLINT
        throw(jsonrpc::JsonRpcException) override {
        result = transport_(message);
    }

private:
    const json_rpc_transport& transport_; // NOLINT
};

} // namespace

bool call_json_rpc(const std::vector<json_rpc_call>& calls, const json_rpc_transport& transport) {
    connector carrier{transport};
    jsonrpc::Client client{carrier};
    try {
        if (calls.size() == 1) {
            client.CallMethod(calls.front().method, parsed(calls.front().parameters));
            return true;
        }
        jsonrpc::BatchCall batch;
        for (const json_rpc_call& entry : calls) {
            batch.addCall(entry.method, parsed(entry.parameters));
        }
        return !client.CallProcedures(batch).hasErrors();
    } catch (const jsonrpc::JsonRpcException&) {
        return false;
    }
}

struct json_rpc_dispatcher::state final : jsonrpc::IProcedureInvokationHandler {
    state()
        : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                         *this)) {}

    void HandleMethodCall(jsonrpc::Procedure& called, const Json::Value& input, // NOLINT
                          Json::Value& output) override {
        output = parsed(methods.at(called.GetProcedureName())(rendered(input)));
    }
    void HandleNotificationCall(jsonrpc::Procedure& called, // NOLINT
                                const Json::Value& input) override {
        methods.at(called.GetProcedureName())(rendered(input));
    }

    std::map<std::string, json_rpc_method> methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

json_rpc_dispatcher::json_rpc_dispatcher() : state_(new state) {}

json_rpc_dispatcher::~json_rpc_dispatcher() = default;

void json_rpc_dispatcher::add(const std::string& method, json_rpc_method answered_by) {
    state_->methods[method] = std::move(answered_by);
    state_->protocol->AddProcedure(jsonrpc::Procedure(
        method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_BOOLEAN, "f", jsonrpc::JSON_ARRAY, nullptr));
}

std::string json_rpc_dispatcher::handle(const std::string& request) {
    std::string answer;
    state_->protocol->HandleRequest(request, answer);
    return answer;
}

} // namespace rpc
} // namespace cicadahatch
