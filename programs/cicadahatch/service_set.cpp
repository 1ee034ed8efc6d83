#include "programs/cicadahatch/service_set.hpp"

#include <map>

namespace cicadahatch::tool {

namespace {

using service_set = settings::parsed<std::vector<settings::service>>;

void append(std::vector<settings::field_error>& to, std::vector<settings::field_error> more) {
    to.insert(to.end(), more.begin(), more.end());
}

void collect_file(const std::string& file, std::map<service_id, std::string>& sources,
                  service_set& collected) {
    auto loaded = settings::load_service(file);
    const bool is_sound = loaded.is_valid();
    append(collected.errors, std::move(loaded.errors));
    if (!is_sound) {
        return;
    }
    const auto [first, is_new] = sources.emplace(loaded.value.name, file);
    if (!is_new) {
        collected.errors.push_back(
            {file, 0, "name", settings::errc::duplicate,
             "a name that no other file has; " + first->second + " has this one"});
    }
    collected.value.push_back(std::move(loaded.value));
}

} // namespace

service_set collect_services(const std::vector<std::string>& places) {
    service_set collected;
    std::map<service_id, std::string> sources;
    for (const std::string& place : places) {
        auto found = settings::find_service_files(place);
        append(collected.errors, std::move(found.errors));
        for (const std::string& file : found.value) {
            collect_file(file, sources, collected);
        }
    }
    return collected;
}

} // namespace cicadahatch::tool
