#include "src/configuration/internal/records.hpp"

#include "src/configuration/error.hpp"

namespace cicadahatch::configuration::internal {

namespace {

using nlohmann::json;

const json& array_at(const json& object, const char* name) {
    static const json empty = json::array();
    const auto found = object.find(name);
    return found == object.end() || !found->is_array() ? empty : *found;
}

std::shared_ptr<const accepted_service> decode_service(const json& object) {
    if (!object.is_object()) {
        return nullptr;
    }
    accepted_service accepted;
    accepted.text = text_at(object, "text");
    accepted.created = revision{number_at(object, "created")};
    accepted.changed = revision{number_at(object, "changed")};
    auto parsed = settings::parse_service(accepted.text, "configuration");
    const bool is_complete = !accepted.created.empty() && accepted.changed >= accepted.created;
    if (!parsed.is_valid() || !is_complete) {
        return nullptr;
    }
    accepted.described = std::move(parsed.value);
    return std::make_shared<const accepted_service>(std::move(accepted));
}

} // namespace

std::uint64_t number_at(const json& object, const char* name) {
    const auto found = object.find(name);
    const bool is_number = found != object.end() && found->is_number_unsigned();
    return is_number ? found->get<std::uint64_t>() : 0;
}

std::string text_at(const json& object, const char* name) {
    const auto found = object.find(name);
    const bool is_text = found != object.end() && found->is_string();
    return is_text ? found->get<std::string>() : std::string{};
}

json encode_service(const accepted_service& accepted) {
    return {{"text", accepted.text},
            {"created", accepted.created.value()},
            {"changed", accepted.changed.value()}};
}

json encode_tombstone(const service_id& name, revision erased) {
    return {{"name", name.str()}, {"erased", erased.value()}};
}

result<void> decode_records(const json& object, service_map& services, tombstone_map& tombstones) {
    for (const json& record : array_at(object, "services")) {
        auto accepted = decode_service(record);
        if (!accepted) {
            return failure(errc::malformed);
        }
        const service_id name = accepted->described.name;
        services[name] = std::move(accepted);
    }
    for (const json& record : array_at(object, "tombstones")) {
        const bool is_object = record.is_object();
        const service_id name{is_object ? text_at(record, "name") : ""};
        const revision erased{is_object ? number_at(record, "erased") : 0};
        if (name.empty() || erased.empty()) {
            return failure(errc::malformed);
        }
        tombstones[name] = erased;
    }
    return {};
}

} // namespace cicadahatch::configuration::internal
