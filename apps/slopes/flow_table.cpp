#include "routing/flow_table.h"

#include "measurement.h"

using namespace trefoil;

namespace {

/// Services that one path holds; the entries are these services for each of the flows.
constexpr std::size_t services_per_path = 5;

} // namespace

std::vector<measurement> measure_flow_table()
{
    std::vector<service_name> path;
    for (std::size_t i = 0; i < services_per_path; ++i) {
        path.emplace_back("service-number-" + std::to_string(i));
    }
    std::vector<measurement> results;
    for (const auto size : measured_sizes()) {
        const mono_time now{std::chrono::hours(1)};
        const kind_name kind("machine-reservation");
        std::vector<group_name> groups;
        for (std::size_t i = 0; i < size / services_per_path; ++i) {
            groups.emplace_back("partner-house-" + std::to_string(i));
        }
        const auto before = allocated_bytes();
        flow_table table;
        for (const auto& group : groups) {
            for (const auto& service : path) {
                table.record(service, kind, group, 0.5, now);
            }
        }
        const auto bytes = allocated_bytes() - before;
        const double lookup = time_per_call([&](std::size_t i) {
            keep(table.min_fraction(path, kind, groups[i % groups.size()], now));
        });
        const double record = time_per_call([&](std::size_t i) {
            table.record(path[i % path.size()], kind, groups[i % groups.size()], 0.5, now);
        });
        const double per_entry = static_cast<double>(bytes) / static_cast<double>(size);
        results.push_back({"flow_table_smallest", size, lookup, per_entry});
        results.push_back({"flow_table_record", size, record, per_entry});
    }
    return results;
}
