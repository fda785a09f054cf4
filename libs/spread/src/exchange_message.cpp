#include "spread/exchange_message.h"

#include "spread/message_json.h"

#include <json/json.h>

#include <algorithm>

namespace trefoil {

namespace {

using std::chrono::milliseconds;

constexpr auto largest_list = exchange_message::largest_list;
constexpr auto largest_age = exchange_message::largest_age;

milliseconds read_age(const Json::Value& object, const char* key)
{
    return milliseconds(read_number(object, key, static_cast<std::uint64_t>(largest_age.count())));
}

Json::Value age_value(milliseconds age)
{
    return Json::UInt64(std::clamp(age, milliseconds(0), largest_age).count());
}

template<class Entries, class Write>
Json::Value list_value(const Entries& entries, Write write)
{
    Json::Value list(Json::arrayValue);
    for (std::size_t i = 0; i < std::min(entries.size(), largest_list); ++i) {
        list.append(write(entries[i]));
    }
    return list;
}

Json::Value leaving_value(const leaving_vm& leaving)
{
    Json::Value value;
    value["vm"] = leaving.vm.str();
    value["incarnation"] = Json::UInt64{leaving.incarnation};
    return value;
}

Json::Value crash_value(const crash_fingerprint& crash)
{
    Json::Value value;
    value["fingerprint"] = Json::UInt64{crash.fingerprint};
    value["crashes"] = crash.crashes;
    value["age_ms"] = age_value(crash.age);
    value["quarantined_ms"] = age_value(crash.quarantined_for);
    return value;
}

} // namespace

exchange_message read_exchange(const Json::Value& object)
{
    exchange_message message;
    message.header = read_header(object);
    const auto& config = read_object(object, "config");
    message.config = {read_number(config, "version")};
    message.config_digest = {read_number(config, "digest")};
    const auto& list = read_object(object, "list");
    message.list = {read_number(list, "revision")};
    message.list_digest = {read_number(list, "digest")};
    if (object.isMember("contact_age_ms")) {
        message.contact_age = read_age(object, "contact_age_ms");
    }
    for (const auto& entry : read_array(object, "leaving", largest_list)) {
        message.leaving.push_back({vm_name(read_text(entry, "vm", largest_name_bytes)),
                                   read_number(entry, "incarnation")});
    }
    for (const auto& entry : read_array(object, "suspected", largest_list)) {
        if (!entry.isString() || entry.asString().size() > largest_name_bytes) {
            throw invalid_message("an entry of 'suspected' is not a name");
        }
        message.suspected.emplace_back(entry.asString());
    }
    for (const auto& entry : read_array(object, "crashes", largest_list)) {
        message.crashes.push_back(
            {read_number(entry, "fingerprint"),
             static_cast<std::uint32_t>(read_number(entry, "crashes", UINT32_MAX)),
             read_age(entry, "age_ms"), read_age(entry, "quarantined_ms")});
    }
    return message;
}

void write_exchange(const exchange_message& message, Json::Value& object)
{
    write_header(message.header, object);
    object["config"]["version"] = Json::UInt64{message.config.value};
    object["config"]["digest"] = Json::UInt64{message.config_digest.value};
    object["list"]["revision"] = Json::UInt64{message.list.value};
    object["list"]["digest"] = Json::UInt64{message.list_digest.value};
    if (message.contact_age) {
        object["contact_age_ms"] = age_value(*message.contact_age);
    }
    object["leaving"] = list_value(message.leaving, leaving_value);
    object["suspected"] =
        list_value(message.suspected, [](const vm_name& vm) { return Json::Value(vm.str()); });
    object["crashes"] = list_value(message.crashes, crash_value);
}

std::string to_json(const exchange_message& message)
{
    Json::Value object;
    write_exchange(message, object);
    return write_json(object);
}

exchange_message parse_exchange(std::string_view json)
{
    Json::Value object;
    parse_json_object(json, object);
    return read_exchange(object);
}

} // namespace trefoil
