#include "workload.h"

#include "call_io/endpoint.h"

#include <toml++/toml.h>

namespace {

flow read_flow(const toml::table& table)
{
    flow f;
    f.kind = table["kind"].value_or(std::string());
    f.group = table["group"].value_or(std::string());
    f.service = table["service"].value_or(std::string());
    f.rate = table["rate"].value_or(1.0);
    f.deadline = std::chrono::milliseconds(table["deadline_ms"].value_or(std::int64_t{2000}));
    f.attempt_timeout =
        std::chrono::milliseconds(table["attempt_ms"].value_or(std::int64_t{f.deadline.count()}));
    f.expect = table["expect"].value_or(std::string());
    f.caller_retries = table["caller_retries"].value_or(std::uint32_t{0});
    f.once_only = table["once_only"].value_or(false);
    if (f.kind.empty() || f.group.empty() || f.service.empty() || f.rate <= 0) {
        throw invalid_workload("a flow needs kind, group, service and a rate above 0");
    }
    return f;
}

phase read_phase(const toml::table& table)
{
    phase p;
    p.name = table["name"].value_or(std::string("phase"));
    p.length = std::chrono::milliseconds(table["ms"].value_or(std::int64_t{1000}));
    if (const auto* factors = table["multiply"].as_table()) {
        for (const auto& [kind, factor] : *factors) {
            p.multiply[std::string(kind.str())] = factor.value_or(1.0);
        }
    }
    if (const auto* requests = table["at_start"].as_array()) {
        for (const auto& request : *requests) {
            p.at_start.push_back(request.value_or(std::string()));
        }
    }
    return p;
}

recorded_upstream read_upstream(const toml::table& table)
{
    return {table["service"].value_or(std::string()),
            trefoil::parse_endpoint(table["address"].value_or(std::string()))};
}

/// Reads each table of an array of tables; does nothing if there is none.
template<class Item, class Read>
void read_all(const toml::table& root, const char* key, std::vector<Item>& items, Read read)
{
    const auto* array = root[key].as_array();
    for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
        const auto* table = array->get(i)->as_table();
        if (table == nullptr) {
            throw invalid_workload(std::string(key) + " is not an array of tables");
        }
        items.push_back(read(*table));
    }
}

} // namespace

workload load_workload(const std::string& file)
{
    workload w;
    try {
        const auto root = toml::parse_file(file);
        w.seed = root["seed"].value_or(std::uint32_t{1});
        w.fixed_body = root["fixed_body"].value_or(std::string());
        w.impatient = root["impatient"].value_or(true);
        if (const auto* entries = root["entries"].as_array()) {
            for (const auto& entry : *entries) {
                w.entries.push_back(trefoil::parse_endpoint(entry.value_or(std::string())));
            }
        }
        read_all(root, "flow", w.flows, read_flow);
        read_all(root, "phase", w.phases, read_phase);
        read_all(root, "upstream", w.upstreams, read_upstream);
    }
    catch (const toml::parse_error& e) {
        throw invalid_workload(std::string(e.description()));
    }
    if (w.entries.empty() || w.flows.empty() || w.phases.empty()) {
        throw invalid_workload("needs entries, at least one flow and at least one phase");
    }
    return w;
}
