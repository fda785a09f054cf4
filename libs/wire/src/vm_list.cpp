#include "wire/vm_list.h"

#include "objects/name_rule.h"

#include <arpa/inet.h>
#include <json/json.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <memory>
#include <unordered_set>

namespace trefoil {

namespace {

/// Parses exactly one JSON document in strict mode, so that a truncated document, or one followed
/// by further text, is rejected.
Json::Value parse_json(std::string_view json)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value root;
    std::string errors;
    try {
        if (!reader->parse(json.data(), json.data() + json.size(), &root, &errors)) {
            throw invalid_vm_list(errors);
        }
    }
    catch (const Json::Exception& e) {
        throw invalid_vm_list(e.what());
    }
    return root;
}

std::string string_field(const Json::Value& vm, const char* key)
{
    if (!vm[key].isString() || vm[key].asString().empty()) {
        throw invalid_vm_list(std::string("field '") + key + "' missing, empty or not a string");
    }
    return vm[key].asString();
}

std::string name_field(const Json::Value& vm, const char* key)
{
    auto name = string_field(vm, key);
    if (!is_valid_name(name)) {
        throw invalid_vm_list(std::string("field '") + key +
                              "' is not a name that a header can carry");
    }
    return name;
}

std::string address_field(const Json::Value& vm)
{
    auto address = string_field(vm, "address");
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    // inet_pton reads only up to the first NUL byte and would accept any text after it.
    if (address.find('\0') != std::string::npos ||
        (inet_pton(AF_INET, address.c_str(), parsed.data()) != 1 &&
         inet_pton(AF_INET6, address.c_str(), parsed.data()) != 1)) {
        throw invalid_vm_list("field 'address' is not an IP address");
    }
    return address;
}

std::uint16_t port_field(const Json::Value& vm, const char* key)
{
    if (!vm[key].isUInt() || vm[key].asUInt() == 0 ||
        vm[key].asUInt() > std::numeric_limits<std::uint16_t>::max()) {
        throw invalid_vm_list(std::string("field '") + key +
                              "' is not a port number from 1 to 65535");
    }
    return static_cast<std::uint16_t>(vm[key].asUInt());
}

vm_state state_field(const Json::Value& vm)
{
    const auto state = string_field(vm, "state");
    if (state == "live") {
        return vm_state::live;
    }
    if (state == "leaving") {
        return vm_state::leaving;
    }
    throw invalid_vm_list("field 'state' is neither live nor leaving");
}

vm_entry parse_vm(const Json::Value& vm)
{
    if (!vm.isObject()) {
        throw invalid_vm_list("entry of 'vms' is not an object");
    }
    return {vm_name(name_field(vm, "vm")),
            availability_zone_name(name_field(vm, "availability_zone")),
            service_name(name_field(vm, "service")),
            address_field(vm),
            port_field(vm, "call_port"),
            port_field(vm, "control_port"),
            state_field(vm)};
}

} // namespace

invalid_vm_list::invalid_vm_list(const std::string& detail) : error("invalid VM list: " + detail) {}

const vm_entry* vm_list::find(const vm_name& name) const
{
    const auto it = std::ranges::find(vms, name, &vm_entry::name);
    return it == vms.end() ? nullptr : &*it;
}

std::vector<vm_entry> vm_list::of_service(const service_name& name) const
{
    std::vector<vm_entry> found;
    std::ranges::copy_if(vms, std::back_inserter(found),
                         [&](const vm_entry& vm) { return vm.service == name; });
    return found;
}

vm_list parse_vm_list(std::string_view json)
{
    if (json.size() > max_vm_list_bytes) {
        throw invalid_vm_list(std::to_string(json.size()) + " bytes, more than the maximum of " +
                              std::to_string(max_vm_list_bytes));
    }
    const Json::Value root = parse_json(json);
    if (!root.isObject() || !root["revision"].isUInt64() || !root["vms"].isArray()) {
        throw invalid_vm_list(
            "field 'revision' is not an unsigned number, or field 'vms' is not an array");
    }
    vm_list list{{root["revision"].asUInt64()}, {}};
    std::unordered_set<vm_name> names;
    for (const auto& vm : root["vms"]) {
        list.vms.push_back(parse_vm(vm));
        if (!names.insert(list.vms.back().name).second) {
            throw invalid_vm_list("VM '" + list.vms.back().name.str() + "' is listed twice");
        }
    }
    return list;
}

std::string to_json(const vm_list& list)
{
    Json::Value root;
    root["revision"] = Json::UInt64{list.revision.value};
    root["vms"] = Json::Value(Json::arrayValue);
    for (const auto& vm : list.vms) {
        Json::Value entry;
        entry["vm"] = vm.name.str();
        entry["availability_zone"] = vm.availability_zone.str();
        entry["service"] = vm.service.str();
        entry["address"] = vm.address;
        entry["call_port"] = vm.call_port;
        entry["control_port"] = vm.control_port;
        entry["state"] = vm.state == vm_state::live ? "live" : "leaving";
        root["vms"].append(entry);
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, root);
}

} // namespace trefoil
