#include "tally.h"

#include <json/json.h>

#include <algorithm>
#include <memory>

namespace {

constexpr std::array<const char*, 5> verdict_names = {"complete", "not_run", "unknown",
                                                      "wrong_answer", "failed"};

double percentile(std::vector<float> values, double fraction)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto index = static_cast<std::size_t>(static_cast<double>(values.size() - 1) * fraction);
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

Json::Value to_value(const kind_tally& t)
{
    Json::Value out;
    out["offered"] = Json::UInt64{t.offered};
    out["sends"] = Json::UInt64{t.sends};
    for (std::size_t i = 0; i < verdict_names.size(); ++i) {
        out[verdict_names[i]] = Json::UInt64{t.verdicts[i]};
    }
    for (const auto& [reason, count] : t.reasons) {
        out["reasons"][reason] = Json::UInt64{count};
    }
    out["p50_ms"] = percentile(t.latencies_ms, 0.5);
    out["p99_ms"] = percentile(t.latencies_ms, 0.99);
    out["p999_ms"] = percentile(t.latencies_ms, 0.999);
    return out;
}

} // namespace

kind_tally& tally::entry(const std::string& phase, const std::string& kind,
                         const std::string& group)
{
    return phases_[phase][kind][group];
}

void tally::add_offered(const std::string& phase, const std::string& kind, const std::string& group)
{
    ++entry(phase, kind, group).offered;
}

void tally::add_send(const std::string& phase, const std::string& kind, const std::string& group)
{
    ++entry(phase, kind, group).sends;
}

void tally::add_reason(const std::string& phase, const std::string& kind, const std::string& group,
                       const std::string& reason)
{
    ++entry(phase, kind, group).reasons[reason];
}

void tally::add_verdict(const std::string& phase, const std::string& kind, const std::string& group,
                        verdict v, std::chrono::microseconds latency, std::size_t arrival_bucket)
{
    auto& e = entry(phase, kind, group);
    ++e.verdicts[static_cast<std::size_t>(v)];
    ++all_by_bucket_[kind][arrival_bucket];
    if (v == verdict::complete) {
        e.latencies_ms.push_back(static_cast<float>(latency.count()) / 1000.0F);
        ++complete_by_bucket_[kind][arrival_bucket];
    }
}

void tally::add_told_not_run(const std::string& kind, const std::string& root)
{
    told_not_run_[kind].insert(root);
}

void tally::add_record(const std::string& service, const std::string& kind, bool once_only,
                       const std::string& json)
{
    Json::Value record;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(json.data(), json.data() + json.size(), &record, nullptr)) {
        ++unread_records_;
        return;
    }
    auto name = service;
    name.append("/").append(kind);
    const auto& roots = record["kinds"][kind]["roots"];
    for (const auto& root : roots.getMemberNames()) {
        if (once_only) {
            runs_[name][root] += roots[root].asUInt64();
        }
        if (told_not_run_[kind].contains(root)) {
            ran_although_not_run_.insert(root);
        }
    }
}

std::uint64_t tally::complete_in(const std::string& kind, std::size_t index) const
{
    const auto buckets = complete_by_bucket_.find(kind);
    if (buckets == complete_by_bucket_.end()) {
        return 0;
    }
    const auto found = buckets->second.find(index);
    return found == buckets->second.end() ? 0 : found->second;
}

std::string tally::to_json() const
{
    Json::Value out;
    out["ran_although_not_run"] = Json::UInt64{ran_although_not_run_.size()};
    out["unread_records"] = Json::UInt64{unread_records_};
    for (const auto& [name, roots] : runs_) {
        Json::UInt64 repeated = 0;
        for (const auto& [root, count] : roots) {
            repeated += count > 1 ? 1U : 0U;
        }
        out["once_only"][name]["ran"] = Json::UInt64{roots.size()};
        out["once_only"][name]["ran_twice"] = repeated;
    }
    for (const auto& [phase, kinds] : phases_) {
        for (const auto& [kind, groups] : kinds) {
            for (const auto& [group, t] : groups) {
                out["phases"][phase][kind][group] = to_value(t);
            }
        }
    }
    for (const auto& [kind, buckets] : all_by_bucket_) {
        for (const auto& [index, count] : buckets) {
            Json::Value row(Json::arrayValue);
            row.append(Json::UInt64{index});
            row.append(Json::UInt64{count});
            row.append(Json::UInt64{complete_in(kind, index)});
            out["timeline"][kind].append(row);
        }
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = " ";
    return Json::writeString(writer, out);
}
