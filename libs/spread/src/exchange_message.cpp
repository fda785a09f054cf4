#include "spread/exchange_message.h"

#include "spread/message_json.h"

#include <json/json.h>

#include <algorithm>

namespace trefoil {

namespace {

using std::chrono::milliseconds;

constexpr auto max_list_entries = exchange_message::max_list_entries;
constexpr auto max_age = exchange_message::max_age;

milliseconds read_age(const Json::Value& object, const char* key)
{
    return milliseconds(read_number(object, key, static_cast<std::uint64_t>(max_age.count())));
}

Json::Value age_value(milliseconds age)
{
    return Json::UInt64(std::clamp(age, milliseconds(0), max_age).count());
}

template<class Entries, class Write>
Json::Value list_value(const Entries& entries, Write write,
                       std::size_t max_entries = max_list_entries)
{
    Json::Value list(Json::arrayValue);
    for (std::size_t i = 0; i < std::min(entries.size(), max_entries); ++i) {
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

Json::Value observation_value(const crash_observation& observation)
{
    Json::Value value;
    value["vm"] = observation.crash.vm.str();
    value["incarnation"] = Json::UInt64{observation.crash.incarnation.value};
    value["ordinal"] = Json::UInt64{observation.crash.ordinal};
    value["age_ms"] = age_value(observation.age);
    value["released"] = observation.released;
    return value;
}

Json::Value crash_value(const crash_report& report)
{
    Json::Value value;
    value["fingerprint"] = report.fingerprint.to_string();
    value["crashes"] =
        list_value(report.crashes, observation_value, exchange_message::max_crash_report_entries);
    value["ids"] = list_value(
        report.ids, [](const request_id& id) { return Json::Value(id.to_string()); },
        exchange_message::max_crash_report_entries);
    // A truncated list must not be marked complete: completeness decides between the answers
    // not-run and unknown.
    value["ids_complete"] =
        report.ids_complete && report.ids.size() <= exchange_message::max_crash_report_entries;
    return value;
}

crash_observation read_observation(const Json::Value& entry)
{
    crash_observation observation;
    observation.crash.vm = vm_name(read_text(entry, "vm", max_name_bytes));
    observation.crash.incarnation = {read_number(entry, "incarnation")};
    observation.crash.ordinal = read_number(entry, "ordinal");
    observation.age = read_age(entry, "age_ms");
    observation.released = read_flag(entry, "released");
    return observation;
}

request_id read_id(const Json::Value& entry)
{
    try {
        return request_id::parse(entry.isString() ? entry.asString() : std::string());
    }
    catch (const invalid_request_id& e) {
        throw invalid_message(e.what());
    }
}

crash_report read_crash(const Json::Value& entry)
{
    crash_report report;
    const auto fingerprint =
        content_fingerprint::parse(read_text(entry, "fingerprint", max_name_bytes));
    if (!fingerprint) {
        throw invalid_message("'fingerprint' is not a fingerprint");
    }
    report.fingerprint = *fingerprint;
    constexpr auto max_entries = exchange_message::max_crash_report_entries;
    for (const auto& observation : read_array(entry, "crashes", max_entries)) {
        report.crashes.push_back(read_observation(observation));
    }
    for (const auto& id : read_array(entry, "ids", max_entries)) {
        report.ids.push_back(read_id(id));
    }
    report.ids_complete = read_flag(entry, "ids_complete");
    return report;
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
    for (const auto& entry : read_array(object, "leaving", max_list_entries)) {
        message.leaving.push_back(
            {vm_name(read_text(entry, "vm", max_name_bytes)), read_number(entry, "incarnation")});
    }
    for (const auto& entry : read_array(object, "suspected", max_list_entries)) {
        if (!entry.isString() || entry.asString().size() > max_name_bytes) {
            throw invalid_message("an entry of 'suspected' is not a name");
        }
        message.suspected.emplace_back(entry.asString());
    }
    for (const auto& entry : read_array(object, "crashes", exchange_message::max_crash_reports)) {
        message.crashes.push_back(read_crash(entry));
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
    object["crashes"] =
        list_value(message.crashes, crash_value, exchange_message::max_crash_reports);
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
