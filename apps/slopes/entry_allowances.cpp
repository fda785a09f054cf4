#include "routing/entry_allowances.h"

#include "base/hash.h"
#include "measurement.h"

using namespace trefoil;

std::vector<measurement> measure_entry_allowances()
{
    std::vector<measurement> results;
    for (const auto size : measured_sizes()) {
        const wall_time now{std::chrono::hours(1)};
        const auto id_of = [&](std::size_t i) {
            return request_id::from_parts(now, mix64(i), mix64(i + 1));
        };
        const auto before = allocated_bytes();
        entry_allowances allowances;
        for (std::size_t i = 0; i < size; ++i) {
            allowances.begin({id_of(i), 0, std::nullopt, 3}, now);
        }
        const auto bytes = allocated_bytes() - before;
        const double ns = time_per_call([&](std::size_t i) {
            const auto id = id_of(i % size);
            allowances.finish(id, allowances.begin({id, 0, std::nullopt, 3}, now));
        });
        results.push_back({"entry_allowances_begin_finish", size, ns,
                           static_cast<double>(bytes) / static_cast<double>(size)});
    }
    return results;
}
