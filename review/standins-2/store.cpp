#include "review/standins-2/store.hpp"

#include "src/store/internal/base64.hpp"

#include <algorithm>

namespace standins {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unmet = 412;
/// Time after which a lease that has run out is noticed at the latest.
constexpr milliseconds lease_check{20};

std::string decode_percent(const std::string& text) {
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const bool is_encoded = text[at] == '%' && at + 2 < text.size();
        plain += is_encoded ? static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16))
                            : text[at];
        at += is_encoded ? 2 : 0;
    }
    return plain;
}

std::string query_value(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 1;
    return decode_percent(target.substr(begin, target.find('&', begin) - begin));
}

std::uint64_t last_number(const std::string& path) {
    return std::stoull(path.substr(path.rfind('/') + 1));
}

} // namespace

store::store()
    : listener_([this](tcp::socket& socket, const any_request& asked) {
          return handle(socket, asked);
      }) {}

bool store::handle(tcp::socket& socket, const any_request& asked) {
    const answer made = respond(asked);
    return send_answer(socket, made.first, "Content-Type: application/json\r\n",
                       made.second.dump());
}

store::answer store::respond(const any_request& asked) {
    const std::string target{asked.target().data(), asked.target().size()};
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/cicadahatch/kv-watch") {
        return watch(target);
    }
    const std::lock_guard lock{mutex_};
    end_old_leases();
    if (path == "/cicadahatch/kv-range") {
        return {status_ok,
                {{"items", items_of(query_value(target, "prefix"))},
                 {"truncated", false},
                 {"storeRevision", revision_}}};
    }
    if (path == "/cicadahatch/kv-key") {
        const auto found = items_.find(query_value(target, "key"));
        return found == items_.end() ? answer{status_not_found, json::object()}
                                     : answer{status_ok, found->second};
    }
    if (path == "/cicadahatch/kv-txn") {
        return transact(json::parse(asked.body()));
    }
    if (path == "/cicadahatch/kv-lease") {
        return grant(json::parse(asked.body()));
    }
    if (path.starts_with("/cicadahatch/kv-keep/")) {
        return renew(last_number(path));
    }
    if (path.starts_with("/cicadahatch/kv-lease-end/")) {
        end_lease(last_number(path));
        return {status_ok, json::object()};
    }
    return {status_not_found, json::object()};
}

store::answer store::watch(const std::string& target) {
    const std::string prefix = query_value(target, "prefix");
    const std::uint64_t after = std::stoull(query_value(target, "after"));
    const time_point until =
        steady_clock::now() + milliseconds{std::stoll(query_value(target, "waitMs"))};
    std::unique_lock lock{mutex_};
    while (true) {
        end_old_leases();
        json events = json::array();
        for (const json& event : history_) {
            const bool is_meant = event.at("revision").get<std::uint64_t>() > after &&
                                  event.at("key").get<std::string>().starts_with(prefix);
            if (is_meant) {
                events.push_back(event);
            }
        }
        if (!events.empty() || steady_clock::now() >= until) {
            return {status_ok, {{"events", events}, {"storeRevision", revision_}}};
        }
        changed_.wait_for(lock, lease_check);
    }
}

void store::put(const std::string& key, const json& value) {
    const std::lock_guard lock{mutex_};
    write(key, cicadahatch::store::internal::encode_base64(value.dump()), 0);
}

std::size_t store::count(const std::string& prefix) {
    const std::lock_guard lock{mutex_};
    end_old_leases();
    return items_of(prefix).size();
}

void store::write(const std::string& key, const std::string& encoded, std::uint64_t lease_number) {
    ++revision_;
    const auto known = items_.find(key);
    const std::uint64_t created =
        known == items_.end() ? revision_ : known->second.at("createdAt").get<std::uint64_t>();
    items_[key] = {{"key", key},
                   {"value", encoded},
                   {"revision", revision_},
                   {"createdAt", created},
                   {"lease", lease_number}};
    history_.push_back(items_[key]);
    changed_.notify_all();
}

void store::erase(const std::string& key) {
    if (items_.erase(key) == 0) {
        return;
    }
    ++revision_;
    history_.push_back({{"key", key}, {"revision", revision_}, {"deleted", true}});
    changed_.notify_all();
}

void store::end_lease(std::uint64_t number) {
    leases_.erase(number);
    std::vector<std::string> ended;
    for (const auto& [key, item] : items_) {
        if (item.at("lease").get<std::uint64_t>() == number) {
            ended.push_back(key);
        }
    }
    for (const std::string& key : ended) {
        erase(key);
    }
}

void store::end_old_leases() {
    const time_point now = steady_clock::now();
    std::vector<std::uint64_t> old;
    for (const auto& [number, row] : leases_) {
        if (row.ends_at <= now) {
            old.push_back(number);
        }
    }
    for (const std::uint64_t number : old) {
        end_lease(number);
    }
}

store::answer store::transact(const json& asked) {
    json current = json::array();
    bool is_met = true;
    for (const json& row : asked.at("expected")) {
        const auto found = items_.find(row.at("key").get<std::string>());
        const bool is_present = found != items_.end();
        const std::uint64_t at = is_present ? found->second.at("revision").get<std::uint64_t>() : 0;
        is_met = is_met && at == row.at("revision").get<std::uint64_t>();
        if (is_present) {
            current.push_back(found->second);
        }
    }
    if (!is_met) {
        return {status_unmet, {{"items", current}}};
    }
    for (const json& row : asked.at("setKeys")) {
        const auto lease_number = row.value("lease", std::uint64_t{0});
        if (lease_number != 0 && !leases_.contains(lease_number)) {
            return {status_not_found, json::object()};
        }
        write(row.at("key").get<std::string>(), row.at("value").get<std::string>(), lease_number);
    }
    for (const json& key : asked.at("remove")) {
        erase(key.get<std::string>());
    }
    return {status_ok, {{"revision", revision_}}};
}

store::answer store::grant(const json& asked) {
    const milliseconds time_to_live{asked.at("ttlMs").get<std::int64_t>()};
    leases_[++last_lease_] = {time_to_live, steady_clock::now() + time_to_live};
    return {status_ok, {{"lease", last_lease_}, {"ttlMs", time_to_live.count()}}};
}

store::answer store::renew(std::uint64_t number) {
    const auto found = leases_.find(number);
    if (found == leases_.end()) {
        return {status_not_found, json::object()};
    }
    found->second.ends_at = steady_clock::now() + found->second.time_to_live;
    return {status_ok, {{"ttlMs", found->second.time_to_live.count()}}};
}

json store::items_of(const std::string& prefix) const {
    json listed = json::array();
    for (const auto& [key, item] : items_) {
        if (key.starts_with(prefix)) {
            listed.push_back(item);
        }
    }
    return listed;
}

} // namespace standins
