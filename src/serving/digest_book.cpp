#include "src/serving/digest_book.hpp"

#include "src/core/cbor.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cicadahatch::serving {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr std::size_t field_count = 7;

std::int64_t to_micros(duration time) {
    return duration_cast<microseconds>(time).count();
}

bool is_digest(const json& fields) {
    if (!fields.is_array() || fields.size() != field_count) {
        return false;
    }
    const auto is_text = [](const json& field) { return field.is_string(); };
    const auto is_number = [](const json& field) { return field.is_number_integer(); };
    return std::all_of(fields.begin(), fields.begin() + 3, is_text) &&
           std::all_of(fields.begin() + 3, fields.begin() + 6, is_number) &&
           fields.back().is_boolean();
}

} // namespace

std::string encode_digest(const scheduling::cell_digest& told) {
    return encode_cbor(json::array(
        {told.id.str(), told.domain.str(), told.model.str(), to_micros(told.predicted_wait[0]),
         to_micros(told.predicted_wait[1]), to_micros(told.typical_first_token), told.takes_work}));
}

std::optional<scheduling::cell_digest> decode_digest(std::string_view bytes, time_point taken_at) {
    const auto fields = decode_cbor(bytes);
    if (!fields || !is_digest(*fields)) {
        return std::nullopt;
    }
    scheduling::cell_digest read;
    std::size_t next = 0;
    read.id = cell_id{(*fields)[next++].get<std::string>()};
    read.domain = domain_id{(*fields)[next++].get<std::string>()};
    read.model = model_id{(*fields)[next++].get<std::string>()};
    read.predicted_wait[0] = microseconds{(*fields)[next++].get<std::int64_t>()};
    read.predicted_wait[1] = microseconds{(*fields)[next++].get<std::int64_t>()};
    read.typical_first_token = microseconds{(*fields)[next++].get<std::int64_t>()};
    read.takes_work = (*fields)[next].get<bool>();
    read.taken_at = taken_at;
    return read;
}

void digest_book::note(scheduling::cell_digest told) {
    const std::lock_guard lock{mutex_};
    const cell_id id = told.id;
    digests_.insert_or_assign(id, std::move(told));
}

void digest_book::keep_only(const std::vector<cell_id>& configured) {
    const std::lock_guard lock{mutex_};
    std::erase_if(digests_, [&](const auto& entry) {
        return std::find(configured.begin(), configured.end(), entry.first) == configured.end();
    });
}

std::vector<scheduling::cell_digest>
digest_book::digests_of(const model_id& model,
                        const std::vector<scheduling::cell_digest>& configured) const {
    std::vector<scheduling::cell_digest> listed;
    const std::lock_guard lock{mutex_};
    for (const scheduling::cell_digest& idle : configured) {
        if (idle.model != model) {
            continue;
        }
        const auto heard = digests_.find(idle.id);
        listed.push_back(heard == digests_.end() ? idle : heard->second);
    }
    return listed;
}

} // namespace cicadahatch::serving
