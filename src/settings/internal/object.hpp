#pragma once

#include "src/settings/internal/codec.hpp"

#include <algorithm>

namespace cicadahatch::settings::internal {

/// \brief Whether a file must hold a field.
enum class presence : std::uint8_t { optional, required };

/// \brief One field of an object: its name, value and meaning.
template <class Owner>
struct field {
    std::string name;
    presence needed = presence::optional;
    field_description described;          ///< path and default are filled by describe()
    std::vector<field_description> parts; ///< fields below this one
    std::function<void(const Json::Value&, Owner&, const std::string& path, fault_list&)> read;
    std::function<Json::Value(const Owner&)> write;
};

template <class Owner>
using field_table = std::vector<field<Owner>>;

/// \brief Binds a member of a struct to its name in the file.
template <class Owner, class Value>
[[nodiscard]] field<Owner> make_field(const std::string& name, Value Owner::*member,
                                      codec<Value> values, std::string meaning,
                                      presence needed = presence::optional) {
    field<Owner> made;
    made.name = name;
    made.needed = needed;
    made.described = {"", values.type, values.unit, "", values.accepted, std::move(meaning)};
    made.parts = std::move(values.parts);
    made.read = [member, read = std::move(values.read)](
                    const Json::Value& json, Owner& owner, const std::string& path,
                    fault_list& faults) { read(json, owner.*member, path, faults); };
    made.write = [member, write = std::move(values.write)](const Owner& owner) {
        return write(owner.*member);
    };
    return made;
}

/// \returns "outer.name", or the name alone at the top of a file
[[nodiscard]] inline std::string join(const std::string& outer, const std::string& name) {
    return outer.empty() ? name : outer + "." + name;
}

/// \returns the names of a table, for the fault of an unknown name
template <class Owner>
[[nodiscard]] std::string names_of(const field_table<Owner>& fields) {
    std::string names;
    for (const field<Owner>& entry : fields) {
        names += (names.empty() ? "" : ", ") + entry.name;
    }
    return names;
}

/// \brief Reads every field of an object and reports the unknown and the missing ones.
template <class Owner>
void read_object(const field_table<Owner>& fields, const Json::Value& json, Owner& owner,
                 const std::string& path, fault_list& faults) {
    if (!json.isObject()) {
        faults.add(path, errc::wrong_type, "an object with " + names_of(fields));
        return;
    }
    for (const std::string& name : json.getMemberNames()) {
        const std::string at = join(path, name);
        faults.note_place(at, json[name].getOffsetStart());
        const auto found = std::find_if(fields.begin(), fields.end(),
                                        [&name](const auto& entry) { return entry.name == name; });
        if (found == fields.end()) {
            faults.add(at, errc::unknown_field, names_of(fields));
        } else {
            found->read(json[name], owner, at, faults);
        }
    }
    for (const field<Owner>& entry : fields) {
        if (entry.needed == presence::required && !json.isMember(entry.name)) {
            faults.add(join(path, entry.name), errc::missing_field, entry.described.accepted);
        }
    }
}

/// \returns the object with every field, defaults included
template <class Owner>
[[nodiscard]] Json::Value write_object(const field_table<Owner>& fields, const Owner& owner) {
    Json::Value json{Json::objectValue};
    for (const field<Owner>& entry : fields) {
        json[entry.name] = entry.write(owner);
    }
    return json;
}

/// \param indentation of each level; empty: all on one line
/// \returns the JSON text, the same for equal values
[[nodiscard]] std::string render_json(const Json::Value& value, const std::string& indentation);

/// \returns the descriptions of the fields and of all below them
/// \param defaults gives the defaults
template <class Owner>
[[nodiscard]] std::vector<field_description> describe(const field_table<Owner>& fields,
                                                      const Owner& defaults = {}) {
    std::vector<field_description> all;
    for (const field<Owner>& entry : fields) {
        if (entry.parts.empty() || entry.described.type.starts_with("list")) {
            field_description own = entry.described;
            own.path = entry.name;
            own.fallback = entry.needed == presence::required
                               ? "required"
                               : render_json(entry.write(defaults), "");
            all.push_back(std::move(own));
        }
        for (field_description part : entry.parts) {
            const bool is_element = part.path.starts_with("[]");
            part.path = is_element ? entry.name + part.path : join(entry.name, part.path);
            all.push_back(std::move(part));
        }
    }
    return all;
}

/// \brief A nested object.
template <class Owner>
[[nodiscard]] codec<Owner> object(const field_table<Owner>& fields, const Owner& defaults = {}) {
    codec<Owner> made;
    made.type = "object";
    made.accepted = "an object with " + names_of(fields);
    made.parts = describe(fields, defaults);
    made.read = [fields](const Json::Value& json, Owner& owner, const std::string& path,
                         fault_list& faults) { read_object(fields, json, owner, path, faults); };
    made.write = [fields](const Owner& owner) { return write_object(fields, owner); };
    return made;
}

} // namespace cicadahatch::settings::internal
