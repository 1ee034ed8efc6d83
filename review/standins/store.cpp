#include "review/standins/store.hpp"

#include <thread>

namespace review {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_precondition_failed = 412;
constexpr milliseconds expiry_period{20};

std::string decode_query(const std::string& text) {
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

std::string query_value(const std::string& target, const std::string& name) {
    const std::size_t begin = target.find('?');
    std::size_t at = begin;
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end - at - 1);
        if (pair.starts_with(name + "=")) {
            return decode_query(pair.substr(name.size() + 1));
        }
        at = end;
    }
    return {};
}

std::uint64_t number_in(const std::string& text) {
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

store::store() : server_([this](tcp::socket& from) { serve(from); }) {
    std::thread{[this] {
        while (true) {
            std::this_thread::sleep_for(expiry_period);
            const std::lock_guard lock{mutex_};
            expire();
        }
    }}.detach();
}

void store::put(const std::string& key, const json& value) {
    const std::lock_guard lock{mutex_};
    set(key, base64(value.dump()), 0);
}

void store::remove(const std::string& key) {
    const std::lock_guard lock{mutex_};
    erase(key);
}

void store::serve(tcp::socket& from) {
    boost::beast::flat_buffer buffer;
    http_request asked;
    while (read_request(from, buffer, asked)) {
        if (!write_response(from, answer(asked))) {
            return;
        }
    }
}

http_response store::answer(const http_request& asked) {
    const auto view = asked.target();
    const std::string target{view.data(), view.size()};
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/cicadahatch/kv-range") {
        return answer_range(query_value(target, "prefix"), query_value(target, "after"));
    }
    if (path == "/cicadahatch/kv-watch") {
        return answer_watch(
            query_value(target, "prefix"), number_in(query_value(target, "after")),
            milliseconds{static_cast<std::int64_t>(number_in(query_value(target, "waitMs")))});
    }
    if (path == "/cicadahatch/kv-txn") {
        return answer_transaction(json::parse(asked.body()));
    }
    if (path == "/cicadahatch/kv-key") {
        const std::lock_guard lock{mutex_};
        const auto found = items_.find(query_value(target, "key"));
        return found == items_.end()
                   ? json_response(status_not_found, json::object())
                   : json_response(status_ok, to_json(found->first, found->second));
    }
    return answer_lease(asked, path);
}

json store::to_json(const std::string& key, const item& held) const {
    return {{"key", key},
            {"value", held.value},
            {"revision", held.revision},
            {"createdAt", held.created},
            {"lease", held.lease},
            {"storeRevision", revision_}};
}

http_response store::answer_range(const std::string& prefix, const std::string& after) {
    const std::lock_guard lock{mutex_};
    json items = json::array();
    for (const auto& [key, held] : items_) {
        if (key.starts_with(prefix) && key > after) {
            items.push_back(to_json(key, held));
        }
    }
    return json_response(status_ok,
                         {{"items", items}, {"truncated", false}, {"storeRevision", revision_}});
}

http_response store::answer_watch(const std::string& prefix, std::uint64_t after,
                                  milliseconds wait) {
    const auto until = clock::now() + wait;
    std::unique_lock lock{mutex_};
    while (true) {
        json events = json::array();
        for (const json& event : history_) {
            if (event.at("revision").get<std::uint64_t>() > after &&
                event.at("key").get<std::string>().starts_with(prefix)) {
                events.push_back(event);
            }
        }
        if (!events.empty() || clock::now() >= until) {
            return json_response(status_ok, {{"events", events}, {"storeRevision", revision_}});
        }
        changed_.wait_until(lock, until);
    }
}

http_response store::answer_transaction(const json& asked) {
    const std::lock_guard lock{mutex_};
    json conflicts = json::array();
    bool holds = true;
    for (const json& row : asked.at("expected")) {
        const auto found = items_.find(row.at("key").get<std::string>());
        const std::uint64_t present = found == items_.end() ? 0 : found->second.revision;
        holds = holds && present == row.at("revision").get<std::uint64_t>();
        if (found != items_.end()) {
            conflicts.push_back(to_json(found->first, found->second));
        }
    }
    if (!holds) {
        return json_response(status_precondition_failed, {{"items", conflicts}});
    }
    for (const json& row : asked.at("setKeys")) {
        const auto number = row.value("lease", std::uint64_t{0});
        if (number != 0 && !leases_.contains(number)) {
            return json_response(status_not_found, json::object());
        }
    }
    for (const json& row : asked.at("setKeys")) {
        set(row.at("key").get<std::string>(), row.at("value").get<std::string>(),
            row.value("lease", std::uint64_t{0}));
    }
    for (const json& key : asked.at("remove")) {
        erase(key.get<std::string>());
    }
    return json_response(status_ok, {{"revision", revision_}});
}

http_response store::answer_lease(const http_request& asked, const std::string& path) {
    const std::lock_guard lock{mutex_};
    if (path == "/cicadahatch/kv-lease") {
        const milliseconds length{json::parse(asked.body()).at("ttlMs").get<std::int64_t>()};
        leases_[next_lease_] = {length, clock::now() + length};
        return json_response(status_ok, {{"lease", next_lease_++}, {"ttlMs", length.count()}});
    }
    const std::uint64_t number = number_in(path.substr(path.rfind('/') + 1));
    const auto held = leases_.find(number);
    if (held == leases_.end()) {
        return json_response(status_not_found, json::object());
    }
    if (path.starts_with("/cicadahatch/kv-keep/")) {
        held->second.ends = clock::now() + held->second.length;
        return json_response(status_ok, {{"ttlMs", held->second.length.count()}});
    }
    end_lease(number);
    return json_response(status_ok, json::object());
}

void store::set(const std::string& key, const std::string& value, std::uint64_t lease_number) {
    item& held = items_[key];
    held.revision = ++revision_;
    held.created = held.created == 0 ? held.revision : held.created;
    held.value = value;
    held.lease = lease_number;
    history_.push_back(to_json(key, held));
    changed_.notify_all();
}

void store::erase(const std::string& key) {
    if (items_.erase(key) > 0) {
        history_.push_back({{"key", key}, {"revision", ++revision_}, {"deleted", true}});
        changed_.notify_all();
    }
}

void store::end_lease(std::uint64_t number) {
    leases_.erase(number);
    std::vector<std::string> ended;
    for (const auto& [key, held] : items_) {
        if (held.lease == number) {
            ended.push_back(key);
        }
    }
    for (const std::string& key : ended) {
        erase(key);
    }
}

void store::expire() {
    std::vector<std::uint64_t> ended;
    for (const auto& [number, held] : leases_) {
        if (held.ends <= clock::now()) {
            ended.push_back(number);
        }
    }
    for (const std::uint64_t number : ended) {
        end_lease(number);
    }
}

} // namespace review
