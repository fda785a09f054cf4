#include "control/audit_trail.h"

#include "base/log_event.h"
#include "spread/message_json.h"

#include <json/json.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace trefoil {

std::uint64_t audit_trail::record(audit_entry entry)
{
    log_event line("audit");
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(mutex_);
        number = ++last_;
        entry.number = number;
        line.add("number", number)
            .add("time_ms", entry.time.time_since_epoch().count())
            .add("what", entry.what)
            .add("subject", entry.subject)
            .add("from", entry.from)
            .add("to", entry.to)
            .add("why", entry.why);
        entries_.push_back(std::move(entry));
        if (entries_.size() > capacity_) {
            entries_.pop_front();
        }
    }
    line.info();
    return number;
}

std::vector<audit_entry> audit_trail::after(std::uint64_t number) const
{
    const std::lock_guard lock(mutex_);
    const auto first = std::ranges::upper_bound(entries_, number, {}, &audit_entry::number);
    return {first, entries_.end()};
}

std::string audit_trail::to_json(std::uint64_t after_number) const
{
    Json::Value root;
    root["entries"] = Json::Value(Json::arrayValue);
    for (const auto& entry : after(after_number)) {
        Json::Value value;
        value["number"] = Json::UInt64{entry.number};
        value["time_ms"] = Json::Int64{entry.time.time_since_epoch().count()};
        value["what"] = entry.what;
        value["subject"] = entry.subject;
        value["from"] = entry.from;
        value["to"] = entry.to;
        value["why"] = entry.why;
        root["entries"].append(std::move(value));
    }
    return write_json(root);
}

} // namespace trefoil
