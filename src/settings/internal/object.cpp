#include "src/settings/internal/object.hpp"

#include <json/writer.h>

namespace cicadahatch::settings::internal {

std::string render_default(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

} // namespace cicadahatch::settings::internal
