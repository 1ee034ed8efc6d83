#include "src/rpc/internal/batch_json.hpp"

#include "src/rpc/internal/field_writer.hpp"

namespace cicadahatch::rpc::internal {

nlohmann::json message_json(const message& sent) {
    nlohmann::json array = nlohmann::json::array({sent.index()});
    std::visit([&](const auto& typed) { append_fields(array, typed); }, sent);
    return array;
}

nlohmann::json batch_json(const batch& sent) {
    nlohmann::json messages = nlohmann::json::array();
    for (const message& entry : sent.messages) {
        messages.push_back(message_json(entry));
    }
    nlohmann::json array = nlohmann::json::array();
    array.push_back(sent.sequence);
    array.push_back(std::move(messages));
    return array;
}

} // namespace cicadahatch::rpc::internal
