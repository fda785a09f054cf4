#include "base/hash.h"
#include "measurement.h"
#include "quarantine/crash_suspects.h"

using namespace trefoil;

std::vector<measurement> measure_crash_decide()
{
    std::vector<measurement> results;
    for (const auto size : measured_sizes()) {
        const mono_time now{std::chrono::hours(1)};
        const auto id_of = [](std::size_t i) {
            return request_id::from_parts(wall_time{}, mix64(i), mix64(i + 1));
        };
        crash_suspects suspects(vm_name("vm-booking-bento-1"), vm_incarnation{1});
        const auto before = allocated_bytes();
        // Each fingerprint crashed twice with one request each time, the usual quarantined state.
        // Suspects start one at a time.
        for (std::size_t i = 0; i < 2 * size; ++i) {
            suspects.started(id_of(i), {mix64(i % size + 1)}, now);
            suspects.crashed(now);
        }
        const auto bytes = allocated_bytes() - before;
        const auto add = [&](const char* name, std::size_t offset) {
            const double ns = time_per_call([&](std::size_t i) {
                keep(suspects.decide(id_of(i), {mix64(offset + i % size + 1)}, now));
            });
            results.push_back(
                {name, size, ns, static_cast<double>(bytes) / static_cast<double>(size)});
        };
        add("crash_suspects_decide_quarantined", 0);
        add("crash_suspects_decide_unsuspected", size);
    }
    return results;
}
