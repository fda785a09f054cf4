#include "status_page.h"

#include <json/json.h>

namespace trefoil {

namespace {

Json::Value node_status(const status_sources& s)
{
    Json::Value out;
    out["vm"] = s.node_settings.vm.str();
    out["availability_zone"] = s.node_settings.availability_zone.str();
    out["service"] = s.node_settings.service.str();
    out["incarnation"] = Json::UInt64{s.incarnation.value};
    out["draining"] = s.runner.draining();
    out["upstream"] = s.runner.upstream_is_up() ? "up" : "down";
    out["calls_in_flight_inbound"] = Json::UInt64{s.inbound.active().size()};
    out["calls_in_flight_outbound"] = Json::UInt64{s.forward.in_flight()};
    return out;
}

Json::Value configuration_status(const status_sources& s)
{
    Json::Value out;
    const auto config = s.views.config.get();
    const auto list = s.views.list.get();
    out["version"] = Json::UInt64{config ? config->source().version.value : 0};
    out["digest"] = config ? config->source().digest.str() : "";
    out["list_revision"] = Json::UInt64{list ? list->list.revision.value : 0};
    if (const auto age = s.published.contact_age()) {
        out["platform_contact_age_ms"] =
            Json::Int64{std::chrono::duration_cast<std::chrono::milliseconds>(*age).count()};
    }
    return out;
}

Json::Value members_status(const status_sources& s)
{
    Json::Value out;
    out["suspects_itself"] = s.members.suspects_itself();
    out["marked"] = Json::Value(Json::arrayValue);
    for (const auto& m : s.members.marked()) {
        Json::Value entry;
        entry["vm"] = m.entry.name.str();
        entry["service"] = m.entry.service.str();
        entry["state"] = m.leaving ? "leaving" : "suspected";
        entry["why"] = std::string(to_string(m.leaving ? m.leaving_because : m.suspected_because));
        out["marked"].append(entry);
    }
    return out;
}

Json::Value admission_status(const admission_snapshot& snapshot, const admission_policy& policy)
{
    Json::Value out;
    out["limit"] = snapshot.limit;
    out["in_flight"] = snapshot.in_flight;
    for (std::size_t i = 0; i < snapshot.queued_by_rank.size() && i < policy.ranks.size(); ++i) {
        auto& rank = out["ranks"][policy.ranks[i].name.str()];
        rank["queued"] = Json::UInt64{snapshot.queued_by_rank[i]};
        rank["started"] = Json::UInt64{snapshot.started_by_rank[i]};
    }
    return out;
}

Json::Value refusals_status(const admission_snapshot& snapshot, const admission_policy& policy)
{
    Json::Value out(Json::arrayValue);
    for (const auto& r : snapshot.refusals) {
        if (r.rank.value >= policy.ranks.size() || r.group.value >= policy.groups.size()) {
            continue;
        }
        Json::Value entry;
        entry["rank"] = policy.at(r.rank).name.str();
        entry["group"] = policy.at(r.group).name.str();
        entry["reason"] = std::string(to_string(r.reason));
        entry["count"] = Json::UInt64{r.count};
        out.append(entry);
    }
    return out;
}

} // namespace

std::string status_json(const status_sources& s)
{
    Json::Value out;
    out["node"] = node_status(s);
    out["configuration"] = configuration_status(s);
    out["members"] = members_status(s);
    if (const auto config = s.views.config.get()) {
        const auto snapshot = s.gate.snapshot();
        out["admission"] = admission_status(snapshot, config->policy());
        out["refusals"] = refusals_status(snapshot, config->policy());
    }
    out["quarantine"]["fingerprints"] = Json::UInt64{s.suspects.size()};
    out["lease"]["held"] = s.once.holds_lease(boot_clock::now());
    out["lease"]["ledger_entries"] = Json::UInt64{s.once.ledger().size()};
    out["messages_refused"] = Json::UInt64{s.peers.refused_messages()};
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, out);
}

} // namespace trefoil
