#include "call_report.h"

#include <chrono>
#include <string>

namespace trefoil {

void call_report::log_decision(const pending_call& call, const char* event, refusal_reason reason,
                               double level)
{
    const auto now = boot_clock::now();
    if (log_.begin(now)) {
        log_.write(line_of(call, event, reason, level, now));
    }
}

void call_report::record_departure(const pending_call& call, request_stage stage, double level)
{
    metrics_.add(std::string("trefoil_callers_gone_total{stage=\"") + to_string(stage) + "\"}");
    const auto now = boot_clock::now();
    if (log_.begin(now)) {
        auto line = line_of(call, "caller_gone", refusal_reason::cancelled, level, now);
        log_.write(line.add("stage", to_string(stage)));
    }
}

log_event call_report::line_of(const pending_call& call, const char* event, refusal_reason reason,
                               double level, mono_time now)
{
    log_event line(event);
    line.add("id", call.request.id).add("reason", to_string(reason));
    line.add("after_ms", (now - call.request.arrived) / std::chrono::milliseconds(1));
    if (call.matched_route != nullptr) {
        line.add("route", call.matched_route->name)
            .add("config", call.routes->config().version)
            .add("service", call.service)
            .add("level", level)
            .add("nested", call.nested)
            .add("chance", call.chance);
    }
    else if (call.routes != nullptr) {
        line.add("config", call.routes->config().version);
    }
    if (call.content) {
        line.add("content", call.content->to_string());
    }
    if (!call.tried.empty()) {
        line.add("target", call.tried.back()).add("sends", call.tried.size());
    }
    return line;
}

void call_report::count(const pending_call& call, outcome result, refusal_reason reason)
{
    const rank_name rank(call.matched_route == nullptr ? "none" : std::to_string(call.rank));
    const kind_name kind(call.matched_route == nullptr ? "none" : call.matched_route->name);
    const group_name group(call.nested ? "calls" : "callers");
    metrics_.record_call({rank, group, kind, result, reason},
                         boot_clock::now() - call.request.arrived);
}

} // namespace trefoil
