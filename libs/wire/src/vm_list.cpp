#include "wire/vm_list.h"

#include <json/json.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <memory>
#include <unordered_set>

namespace trefoil {

namespace {

std::string text_field(const Json::Value& vm, const char* key)
{
    if (!vm[key].isString() || vm[key].asString().empty()) {
        throw invalid_vm_list(std::string("field '") + key + "' missing or not a text");
    }
    return vm[key].asString();
}

std::uint16_t port_field(const Json::Value& vm, const char* key)
{
    if (!vm[key].isUInt() || vm[key].asUInt() == 0 ||
        vm[key].asUInt() > std::numeric_limits<std::uint16_t>::max()) {
        throw invalid_vm_list(std::string("field '") + key + "' is not a port");
    }
    return static_cast<std::uint16_t>(vm[key].asUInt());
}

vm_state state_field(const Json::Value& vm)
{
    const auto state = text_field(vm, "state");
    if (state == "live") {
        return vm_state::live;
    }
    if (state == "leaving") {
        return vm_state::leaving;
    }
    throw invalid_vm_list("state '" + state + "' is neither live nor leaving");
}

vm_entry parse_vm(const Json::Value& vm)
{
    if (!vm.isObject()) {
        throw invalid_vm_list("an entry is not an object");
    }
    return {vm_name(text_field(vm, "vm")),
            availability_zone_name(text_field(vm, "availability_zone")),
            service_name(text_field(vm, "service")),
            text_field(vm, "address"),
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
    Json::Value root;
    std::string errors;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    try {
        if (!reader->parse(json.data(), json.data() + json.size(), &root, &errors)) {
            throw invalid_vm_list(errors);
        }
    }
    catch (const Json::Exception& e) {
        throw invalid_vm_list(e.what());
    }
    if (!root.isObject() || !root["revision"].isUInt64() || !root["vms"].isArray()) {
        throw invalid_vm_list("needs a number 'revision' and an array 'vms'");
    }
    vm_list list{{root["revision"].asUInt64()}, {}};
    std::unordered_set<vm_name> names;
    for (const auto& vm : root["vms"]) {
        list.vms.push_back(parse_vm(vm));
        if (!names.insert(list.vms.back().name).second) {
            throw invalid_vm_list("VM '" + list.vms.back().name.str() + "' appears twice");
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
