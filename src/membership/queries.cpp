#include "src/membership/queries.hpp"

#include "src/membership/constants.hpp"

#include <algorithm>

namespace cicadahatch::membership {

namespace {

template <class Predicate>
std::vector<member_record> select(const gossip_state& state, const domain_id& domain,
                                  time_point now, Predicate is_wanted) {
    std::vector<member_record> found;
    if (is_cut_off(state, domain, now)) {
        return found;
    }
    if (state.self.domain == domain && is_wanted(state.self.status)) {
        found.push_back(state.self);
    }
    for (const member& other : state.members.rows()) {
        if (other.record.domain == domain && is_wanted(other.record.status)) {
            found.push_back(other.record);
        }
    }
    std::sort(
        found.begin(), found.end(),
        [](const member_record& left, const member_record& right) { return left.id < right.id; });
    return found;
}

} // namespace

std::vector<member_record> live_members(const gossip_state& state, const domain_id& domain,
                                        time_point now) {
    return select(state, domain, now, is_present);
}

std::vector<member_record> working_members(const gossip_state& state, const domain_id& domain,
                                           time_point now) {
    return select(state, domain, now,
                  [](member_status status) { return status == member_status::alive; });
}

std::vector<domain_id> known_domains(const gossip_state& state) {
    std::vector<domain_id> domains;
    for (const contact& entry : state.contacts) {
        domains.push_back(entry.domain);
    }
    std::sort(domains.begin(), domains.end());
    return domains;
}

bool is_cut_off(const gossip_state& state, const domain_id& domain, time_point now) {
    if (domain == state.self.domain) {
        return false;
    }
    const auto found = std::find_if(state.contacts.begin(), state.contacts.end(),
                                    [&](const contact& entry) { return entry.domain == domain; });
    return found == state.contacts.end() || now - found->at > domain_cut_limit;
}

const payload_row* find_payload(const gossip_state& state, payload_kind kind,
                                const std::string& key) {
    return state.payloads.find(make_payload_id(kind, key));
}

std::vector<payload_row> payloads_of(const gossip_state& state, payload_kind kind) {
    std::vector<payload_row> found;
    for (const payload_row& row : state.payloads.rows()) {
        if (row.held.kind == kind) {
            found.push_back(row);
        }
    }
    return found;
}

bool is_leaving_backend(const gossip_state& state, const backend_id& backend, incarnation started) {
    const payload_row* row = find_payload(state, payload_kind::leaving_backend, backend.str());
    return row != nullptr && row->held.version >= started.value();
}

} // namespace cicadahatch::membership
