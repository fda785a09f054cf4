#include "base/hash.h"
#include "measurement.h"
#include "routing/target_selector.h"

using namespace trefoil;

std::vector<measurement> measure_target_pick()
{
    std::vector<measurement> results;
    for (const auto size : measured_sizes()) {
        const auto before = allocated_bytes();
        std::vector<target_candidate> candidates;
        candidates.reserve(size);
        for (std::size_t i = 0; i < size; ++i) {
            target_candidate c;
            c.vm = vm_name("vm-booking-bento-" + std::to_string(i));
            c.availability_zone = availability_zone_name("zone-" + std::to_string(i % 3));
            c.in_flight = i % 5;
            c.latency = std::chrono::milliseconds(10);
            candidates.push_back(std::move(c));
        }
        const auto bytes = allocated_bytes() - before;
        const target_selector selector;
        const availability_zone_name zone("zone-1");
        const std::vector<vm_name> excluded{candidates.front().vm};
        const double ns = time_per_call(
            [&](std::size_t i) { keep(selector.pick(candidates, zone, excluded, mix64(i + 1))); });
        results.push_back({"target_selector_pick", size, ns,
                           static_cast<double>(bytes) / static_cast<double>(size)});
    }
    return results;
}
