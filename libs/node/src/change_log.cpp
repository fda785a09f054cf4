#include "change_log.h"

namespace trefoil {

void change_log::record(const membership_changes& changes)
{
    for (const auto& c : changes) {
        record("member_" + std::string(to_string(c.change)), c.vm.str(), c.service.str(),
               std::string(to_string(c.change)), std::string(to_string(c.reason)));
    }
}

void change_log::record(const crash_changes& changes)
{
    for (const auto& c : changes) {
        record("request_" + std::string(to_string(c.change)), c.fingerprint.to_string(), "",
               "crashes " + std::to_string(c.crashes), c.source.str());
    }
}

void change_log::record(const std::string& event, const std::string& subject,
                        const std::string& from, const std::string& to, const std::string& reason)
{
    trail_.record({0, wall_now(), event, subject, from, to, reason});
}

} // namespace trefoil
