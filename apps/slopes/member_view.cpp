#include "membership/member_view.h"

#include "base/hash.h"
#include "measurement.h"

using namespace trefoil;

std::vector<measurement> measure_member_view()
{
    std::vector<measurement> results;
    for (const auto size : measured_sizes()) {
        const mono_time now{std::chrono::hours(1)};
        const service_name called("dyeing-of-thread");
        vm_list list{{1}, {}};
        for (std::size_t i = 0; i < size; ++i) {
            list.vms.push_back({vm_name("vm-dyeing-bento-" + std::to_string(i)),
                                availability_zone_name("bento"), called, "10.0.0.1", 1, 2});
        }
        const auto before = allocated_bytes();
        member_view view(service_name("booking"), vm_name("own"), vm_incarnation{1});
        view.set_called_services(std::vector{called}, now);
        view.apply_list(list, now);
        const auto bytes = allocated_bytes() - before;
        const double call = time_per_call([&](std::size_t i) {
            const auto& vm = list.vms[mix64(i) % size].name;
            view.call_started(vm, now);
            keep(view.call_finished(vm, now, call_evidence::answered, now));
        });
        const double tick = time_per_call([&](std::size_t) { keep(view.tick(now)); });
        const double per_entry = static_cast<double>(bytes) / static_cast<double>(size);
        results.push_back({"member_view_call", size, call, per_entry});
        results.push_back({"member_view_tick", size, tick, per_entry});
    }
    return results;
}
