#include "report.h"

#include <json/json.h>

#include <iomanip>

namespace trefoil::experiment {

void print_table(std::ostream& out, const std::vector<run_metrics>& results)
{
    out << std::left << std::setw(15) << "topology" << std::setw(16) << "scenario" << std::setw(12)
        << "control" << std::right << std::setw(8) << "goodput" << std::setw(10) << "recovery"
        << std::setw(8) << "urgent" << std::setw(8) << "normal" << std::setw(8) << "browse"
        << std::setw(9) << "precious" << std::setw(7) << "kept" << std::setw(8) << "wasted"
        << std::setw(9) << "attempts" << std::setw(10) << "urgent-ms" << std::setw(6) << "limit"
        << '\n';
    out << std::fixed << std::setprecision(3);
    for (const auto& f : results) {
        out << std::left << std::setw(15) << f.topology << std::setw(16) << f.scenario
            << std::setw(12) << f.control << std::right << std::setw(8) << f.goodput
            << std::setw(10)
            << (f.recovery ? std::to_string(f.recovery->count()) + " ms" : std::string("none"));
        for (const double served : f.served_by_rank) {
            out << std::setw(8) << served;
        }
        out << std::setw(9) << f.guaranteed_served << std::setw(7) << f.min_of_fair_share
            << std::setw(8) << f.wasted_work << std::setw(9) << f.bottleneck_attempts
            << std::setw(10) << f.urgent_ms << std::setw(6) << f.limit << '\n';
    }
}

void print_json(std::ostream& out, const std::vector<run_metrics>& results, std::uint64_t seed)
{
    Json::Value root;
    root["seed"] = Json::UInt64(seed);
    root["runs"] = Json::arrayValue;
    for (const auto& f : results) {
        Json::Value run;
        run["topology"] = f.topology;
        run["scenario"] = f.scenario;
        run["control"] = f.control;
        run["goodput"] = f.goodput;
        run["recovery_ms"] =
            f.recovery ? Json::Value(Json::Int64(f.recovery->count())) : Json::Value();
        for (const double served : f.served_by_rank) {
            run["served_by_rank"].append(served);
        }
        run["precious_served"] = f.guaranteed_served;
        run["smallest_share_kept"] = f.min_of_fair_share;
        for (const auto& k : f.kinds) {
            run["kinds"][k.kind]["served"] = k.served;
            run["kinds"][k.kind]["of_fair_share"] = k.of_fair_share;
        }
        run["urgent_ms"] = f.urgent_ms;
        run["wasted_work"] = f.wasted_work;
        run["deepest_attempts"] = f.bottleneck_attempts;
        run["limit"] = f.limit;
        root["runs"].append(run);
    }
    out << root << '\n';
}

} // namespace trefoil::experiment
