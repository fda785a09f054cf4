#pragma once

#include "control/audit_trail.h"
#include "membership/membership_change.h"
#include "quarantine/crash_change.h"

namespace trefoil {

/// Writes changes of the node's state to the audit trail.
class change_log {
public:
    explicit change_log(audit_trail& trail) : trail_(trail) {}

    void record(const membership_changes& changes);
    void record(const crash_changes& changes);
    /// Records a change of a published value or of the node itself.
    void record(const std::string& event, const std::string& subject, const std::string& from,
                const std::string& to, const std::string& reason);

private:
    audit_trail& trail_;
};

} // namespace trefoil
