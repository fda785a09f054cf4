#include "peer_message_json.h"

#include "spread/message_json.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace trefoil {

namespace {

/// A bundle has at most 1 MB; a list of 2,400 VMs has about 0.5 MB.
constexpr std::size_t max_text_bytes = std::size_t{1024} * 1024;
constexpr std::size_t max_members = 4096;
constexpr std::size_t max_lists = 64;
/// Far above the lease duration of 2 s. Prevents overflow in the conversion to nanoseconds.
constexpr std::uint64_t max_duration_ms = 60'000;
/// Older lists are not needed. Prevents overflow in the conversion to nanoseconds.
constexpr std::uint64_t max_age_ms = 86'400'000;

} // namespace

void read_json(const Json::Value& json, exchange_message& message)
{
    message = read_exchange(json);
}

Json::Value to_json_value(const exchange_message& message)
{
    Json::Value json;
    write_exchange(message, json);
    return json;
}

void read_json(const Json::Value& json, fetch_config_request& message)
{
    message.header = read_header(json);
    message.held = {read_number(json, "held")};
}

Json::Value to_json_value(const fetch_config_request& message)
{
    Json::Value json;
    write_header(message.header, json);
    json["held"] = Json::UInt64{message.held.value};
    return json;
}

void read_json(const Json::Value& json, fetch_config_result& message)
{
    message.version = {read_number(json, "version")};
    message.digest = {read_number(json, "digest")};
    message.text = read_text(json, "text", max_text_bytes);
}

Json::Value to_json_value(const fetch_config_result& message)
{
    Json::Value json;
    json["version"] = Json::UInt64{message.version.value};
    json["digest"] = Json::UInt64{message.digest.value};
    json["text"] = message.text;
    return json;
}

void read_json(const Json::Value& json, fetch_list_request& message)
{
    message.header = read_header(json);
    message.held = {read_number(json, "held")};
}

Json::Value to_json_value(const fetch_list_request& message)
{
    Json::Value json;
    write_header(message.header, json);
    json["held"] = Json::UInt64{message.held.value};
    return json;
}

void read_json(const Json::Value& json, fetch_list_result& message)
{
    message.revision = {read_number(json, "revision")};
    message.digest = {read_number(json, "digest")};
    message.text = read_text(json, "text", max_text_bytes);
}

Json::Value to_json_value(const fetch_list_result& message)
{
    Json::Value json;
    json["revision"] = Json::UInt64{message.revision.value};
    json["digest"] = Json::UInt64{message.digest.value};
    json["text"] = message.text;
    return json;
}

void read_json(const Json::Value& json, grant_lease_request& message)
{
    message.header = read_header(json);
    message.service = service_name(read_text(json, "service", max_name_bytes));
    message.grant.revision = {read_number(json, "revision")};
    message.grant.members_digest = read_number(json, "members_digest");
    message.grant.duration =
        std::chrono::milliseconds(read_number(json, "duration_ms", max_duration_ms));
}

Json::Value to_json_value(const grant_lease_request& message)
{
    Json::Value json;
    write_header(message.header, json);
    json["service"] = message.service.str();
    json["revision"] = Json::UInt64{message.grant.revision.value};
    json["members_digest"] = Json::UInt64{message.grant.members_digest};
    json["duration_ms"] = Json::Int64{message.grant.duration.count()};
    return json;
}

void read_json(const Json::Value& json, grant_lease_result& message)
{
    message.grant.granted = read_flag(json, "granted");
    message.grant.ready = read_flag(json, "ready");
    message.grant.revision = {read_number(json, "revision")};
    message.grant.lists.clear();
    for (const auto& entry : read_array(json, "lists", max_lists)) {
        reported_list list{{read_number(entry, "revision")}, {}, {}};
        list.age = std::chrono::milliseconds(read_number(entry, "age_ms", max_age_ms));
        for (const auto& name : read_array(entry, "members", max_members)) {
            if (!name.isString() || name.asString().size() > max_name_bytes) {
                throw invalid_message("an entry of 'members' is not a name");
            }
            list.members.emplace_back(name.asString());
        }
        message.grant.lists.push_back(std::move(list));
    }
}

Json::Value to_json_value(const grant_lease_result& message)
{
    Json::Value json;
    json["granted"] = message.grant.granted;
    json["ready"] = message.grant.ready;
    json["revision"] = Json::UInt64{message.grant.revision.value};
    json["lists"] = Json::Value(Json::arrayValue);
    for (const auto& list : message.grant.lists) {
        Json::Value entry;
        entry["revision"] = Json::UInt64{list.revision.value};
        entry["age_ms"] = Json::Int64{list.age.count()};
        entry["members"] = Json::Value(Json::arrayValue);
        for (const auto& name : list.members) {
            entry["members"].append(name.str());
        }
        json["lists"].append(std::move(entry));
    }
    return json;
}

rpc_refusal read_refusal(const Json::Value& json)
{
    const auto reason = parse_message_refusal(read_text(json, "reason", max_name_bytes));
    if (!reason) {
        throw invalid_message("the reason of a refusal is not known");
    }
    return {*reason, {read_number(json, "revision")}};
}

Json::Value to_json_value(const rpc_refusal& refusal)
{
    Json::Value json;
    json["reason"] = std::string(to_string(refusal.reason));
    json["revision"] = Json::UInt64{refusal.revision.value};
    return json;
}

} // namespace trefoil
