#include "src/configuration/plan.hpp"

#include "src/configuration/constants.hpp"
#include "src/configuration/error.hpp"
#include "src/core/macros.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace cicadahatch::configuration {

namespace {

using nlohmann::json;

/// "/urgent/share" becomes "urgent.share".
std::string field_of(const std::string& pointer) {
    std::string field = pointer.empty() ? pointer : pointer.substr(1);
    std::replace(field.begin(), field.end(), '/', '.');
    return field;
}

/// Collects a plan service by service.
class planner {
public:
    planner(const snapshot_ptr& current, revision base) : current_(current), base_(base) {
        if (current) {
            services_ = current->services();
            tombstones_ = current->tombstones();
        }
    }

    void keep_or_set(const settings::service& wanted) {
        std::string text = settings::render_service(wanted);
        const auto found = services_.find(wanted.name);
        if (found == services_.end()) {
            create(wanted, std::move(text));
        } else if (found->second->text != text) {
            replace(*found->second, wanted, std::move(text));
        }
    }

    void erase_missing(const std::set<service_id>& wanted) {
        const service_map before = services_;
        for (const auto& [name, accepted] : before) {
            const bool is_unseen = accepted->created > base_;
            if (wanted.count(name) == 0 && !is_unseen) {
                erase(*accepted);
            }
        }
    }

    [[nodiscard]] change_plan finish() {
        change_plan plan;
        plan.differences = std::move(differences_);
        plan.conflicts = std::move(conflicts_);
        if (plan.conflicts.empty() && !plan.differences.empty()) {
            plan.next = next_snapshot();
        }
        return plan;
    }

private:
    [[nodiscard]] revision next_revision() const {
        return revision{(current_ ? current_->at().value() : 0) + 1};
    }

    void create(const settings::service& wanted, std::string text) {
        const auto erased = tombstones_.find(wanted.name);
        if (erased != tombstones_.end() && erased->second > base_) {
            conflicts_.push_back({wanted.name, difference_kind::erased, {}, erased->second});
            return;
        }
        differences_.push_back({wanted.name, difference_kind::created, {}});
        set(wanted, std::move(text), next_revision());
    }

    void replace(const accepted_service& theirs, const settings::service& wanted,
                 std::string text) {
        std::vector<std::string> fields = differing_fields(theirs.text, text);
        if (theirs.changed > base_) {
            const bool is_new = theirs.created > base_;
            const auto others = is_new ? difference_kind::created : difference_kind::changed;
            conflicts_.push_back({wanted.name, others, std::move(fields), theirs.changed});
            return;
        }
        differences_.push_back({wanted.name, difference_kind::changed, std::move(fields)});
        set(wanted, std::move(text), theirs.created);
    }

    void erase(const accepted_service& theirs) {
        const service_id name = theirs.described.name;
        if (theirs.changed > base_) {
            conflicts_.push_back({name, difference_kind::changed, {}, theirs.changed});
            return;
        }
        differences_.push_back({name, difference_kind::erased, {}});
        services_.erase(name);
        tombstones_[name] = next_revision();
    }

    void set(const settings::service& wanted, std::string text, revision created) {
        services_[wanted.name] = std::make_shared<const accepted_service>(
            accepted_service{wanted, std::move(text), created, next_revision()});
        tombstones_.erase(wanted.name);
    }

    [[nodiscard]] snapshot_ptr next_snapshot() {
        const std::uint64_t next = next_revision().value();
        const std::uint64_t forgotten =
            next > kept_tombstone_revisions ? next - kept_tombstone_revisions : 0;
        std::erase_if(tombstones_,
                      [&](const auto& entry) { return entry.second.value() <= forgotten; });
        return std::make_shared<const snapshot>(next_revision(), std::move(services_),
                                                std::move(tombstones_), revision{forgotten});
    }

    const snapshot_ptr& current_;
    revision base_;
    service_map services_;
    tombstone_map tombstones_;
    std::vector<difference> differences_;
    std::vector<conflict> conflicts_;
};

bool is_base_known(const snapshot_ptr& current, revision base) {
    if (!current) {
        return base.empty();
    }
    return base >= current->tombstones_since() && base <= current->at();
}

} // namespace

std::vector<std::string> differing_fields(const std::string& left, const std::string& right) {
    const json before = json::parse(left, nullptr, false);
    const json after = json::parse(right, nullptr, false);
    std::set<std::string> fields;
    for (const json& step : json::diff(before, after)) {
        fields.insert(field_of(step.at("path").get<std::string>()));
    }
    return {fields.begin(), fields.end()};
}

result<change_plan> plan_change(const snapshot_ptr& current,
                                const std::vector<settings::service>& services, revision base) {
    if (!is_base_known(current, base)) {
        return failure(errc::base_unknown);
    }
    planner planned{current, base};
    std::set<service_id> wanted;
    for (const settings::service& described : services) {
        const bool is_first = wanted.insert(described.name).second;
        CICADAHATCH_ASSERT(is_first, published_name_stands_once);
        planned.keep_or_set(described);
    }
    planned.erase_missing(wanted);
    return planned.finish();
}

} // namespace cicadahatch::configuration
