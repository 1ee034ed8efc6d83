#include "src/settings/internal/object.hpp"

#include <json/writer.h>
#include <limits>

namespace cicadahatch::settings::internal {

std::string render_json(const Json::Value& value, const std::string& indentation) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = indentation;
    builder["enableYAMLCompatibility"] = true; // no space before the colon
    builder["emitUTF8"] = true;
    builder["precision"] = std::numeric_limits<double>::digits10; // 0.95 stays 0.95
    return Json::writeString(builder, value);
}

} // namespace cicadahatch::settings::internal
