#include "metrics.h"

#include <algorithm>

namespace trefoil::experiment {

using namespace std::chrono_literals;

double completed_bottleneck_work(const topology& model, const std::vector<request_record>& records,
                                 mono_time from, mono_time to)
{
    double work = 0.0;
    for (const auto& r : records) {
        if (r.ok && r.ended >= from && r.ended < to) {
            work += std::chrono::duration<double>(model.bottleneck_work(r.kind)).count();
        }
    }
    return work;
}

std::optional<std::chrono::milliseconds> recovery_time(const std::vector<request_record>& records,
                                                       mono_time trigger_end, mono_time run_end)
{
    constexpr auto window = 250ms;
    constexpr int required_windows = 4;
    const auto count = static_cast<std::size_t>((run_end - trigger_end) / window);
    std::vector<double> arrived(count);
    std::vector<double> completed(count);
    for (const auto& r : records) {
        if (r.arrived >= trigger_end && r.arrived < trigger_end + count * window) {
            const auto i = static_cast<std::size_t>((r.arrived - trigger_end) / window);
            arrived[i] += 1.0;
            completed[i] += r.ok ? 1.0 : 0.0;
        }
    }
    int good_windows = 0;
    for (std::size_t i = 0; i < count; ++i) {
        good_windows = completed[i] >= 0.95 * arrived[i] ? good_windows + 1 : 0;
        if (good_windows == required_windows) {
            return window * (static_cast<int>(i) + 1 - required_windows);
        }
    }
    return std::nullopt;
}

namespace {

/// Rate of the kind, in requests per second, that its fair share allows at its most constrained
/// service. The fair share at a service is the share of the rank, divided equally among the kinds
/// of the rank that pass through the service. Groups need no term, since all of them send in
/// proportion to their shares.
double fair_rate(const topology& model, const object_set& objects, std::size_t kind,
                 double bottleneck_capacity)
{
    const auto& k = model.kinds[kind];
    double fair = model.kind_capacity(kind);
    for (std::size_t hop = 0; hop < k.path.size(); ++hop) {
        const auto service = k.path[hop];
        double total = 0.0;
        double same_rank = 0.0;
        for (const auto& r : objects.ranks) {
            double kinds = 0.0;
            for (const auto& other : model.kinds) {
                const bool passes = std::ranges::find(other.path, service) != other.path.end();
                kinds += passes && other.rank == r.name ? 1.0 : 0.0;
            }
            total += kinds > 0.0 ? r.share : 0.0;
            same_rank = r.name == k.rank ? kinds : same_rank;
        }
        const double capacity = service == model.bottleneck
                                    ? bottleneck_capacity
                                    : static_cast<double>(model.services[service].slots);
        const double share = objects.find(k.rank)->share / total / same_rank;
        fair =
            std::min(fair, capacity * share / std::chrono::duration<double>(k.work[hop]).count());
    }
    return fair;
}

} // namespace

void add_service_metrics(const topology& model, const scenario& s,
                         const std::vector<request_record>& records, mono_time from, mono_time to,
                         double capacity, run_metrics& f)
{
    const auto objects = model.objects();
    std::vector<double> arrived(model.kinds.size());
    std::vector<double> completed(model.kinds.size());
    double urgent_ms = 0.0;
    double urgent_completed = 0.0;
    for (const auto& r : records) {
        if (r.arrived >= from && r.arrived < to) {
            arrived[r.kind] += 1.0;
            completed[r.kind] += r.ok ? 1.0 : 0.0;
            if (r.ok && model.kinds[r.kind].rank == objects.ranks.front().name) {
                urgent_ms += std::chrono::duration<double, std::milli>(r.ended - r.arrived).count();
                urgent_completed += 1.0;
            }
        }
    }
    const auto ratio = [](double part, double whole) { return whole > 0.0 ? part / whole : 1.0; };
    const double seconds = std::chrono::duration<double>(to - from).count();
    f.min_of_fair_share = 1e9;
    for (const auto& rank : objects.ranks) {
        double rank_arrived = 0.0;
        double rank_completed = 0.0;
        for (std::size_t k = 0; k < model.kinds.size(); ++k) {
            if (model.kinds[k].rank == rank.name) {
                rank_arrived += arrived[k];
                rank_completed += completed[k];
            }
        }
        f.served_by_rank.push_back(ratio(rank_completed, rank_arrived));
    }
    double guaranteed_arrived = 0.0;
    double guaranteed_completed = 0.0;
    for (std::size_t k = 0; k < model.kinds.size(); ++k) {
        const double fair = fair_rate(model, objects, k, capacity) * seconds;
        kind_metrics kind{model.kinds[k].name.str(), ratio(completed[k], arrived[k]),
                          ratio(completed[k], std::min(fair, arrived[k]))};
        if (objects.find(model.kinds[k].rank)->share > 0.0) {
            guaranteed_arrived += arrived[k];
            guaranteed_completed += completed[k];
            if (k != s.flooding_kind) {
                f.min_of_fair_share = std::min(f.min_of_fair_share, kind.of_fair_share);
            }
        }
        f.kinds.push_back(kind);
    }
    f.urgent_ms = ratio(urgent_ms, urgent_completed);
    f.guaranteed_served = ratio(guaranteed_completed, guaranteed_arrived);
}

} // namespace trefoil::experiment
