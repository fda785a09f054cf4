#include "run_results.h"

#include <json/json.h>

#include <fstream>

namespace {

void add(kind_counts& counts, const Json::Value& group)
{
    counts.offered += group["offered"].asUInt64();
    counts.sends += group["sends"].asUInt64();
    counts.complete += group["complete"].asUInt64();
    counts.wrong += group["wrong_answer"].asUInt64();
    counts.failed += group["failed"].asUInt64();
}

} // namespace

std::uint64_t run_results::total(std::uint64_t kind_counts::*field) const
{
    std::uint64_t sum = 0;
    for (const auto& [phase, kinds] : phases) {
        for (const auto& [kind, counts] : kinds) {
            sum += counts.*field;
        }
    }
    return sum;
}

run_results read_results(const std::string& file)
{
    std::ifstream in(file);
    Json::Value root;
    in >> root;
    run_results results;
    for (const auto& phase : root["phases"].getMemberNames()) {
        const auto& kinds = root["phases"][phase];
        for (const auto& kind : kinds.getMemberNames()) {
            for (const auto& group : kinds[kind].getMemberNames()) {
                add(results.phases[phase][kind], kinds[kind][group]);
            }
        }
    }
    for (const auto& kind : root["timeline"].getMemberNames()) {
        for (const auto& row : root["timeline"][kind]) {
            auto& bucket = results.timeline[kind][row[0].asUInt64()];
            bucket.offered = row[1].asUInt64();
            bucket.complete = row[2].asUInt64();
        }
    }
    for (const auto& name : root["once_only"].getMemberNames()) {
        results.once_only_ran += root["once_only"][name]["ran"].asUInt64();
        results.ran_twice += root["once_only"][name]["ran_twice"].asUInt64();
    }
    results.ran_although_not_run = root["ran_although_not_run"].asUInt64();
    return results;
}
