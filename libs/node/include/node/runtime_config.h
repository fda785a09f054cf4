#pragma once

#include "admission/admission_policy.h"
#include "objects/bundle.h"

#include <map>
#include <memory>
#include <vector>

namespace trefoil {

/// A kind with the derived data that the call path of this node uses.
struct runtime_kind {
    kind definition;
    rank_name rank;
    /// All services that a request of this kind reaches, from its entry service on.
    std::vector<service_name> path;
    /// For each service on the path: itself and the services that it calls for this kind, directly
    /// or indirectly.
    std::map<service_name, std::vector<service_name>> reachable;
};

/// An accepted bundle, indexed for lookups on the call path. Immutable.
class runtime_config {
public:
    /// Throws invalid_admission_policy if the bundle lacks `own_service`.
    runtime_config(bundle b, const service_name& own_service);

    const bundle& source() const noexcept { return bundle_; }
    const admission_policy& policy() const noexcept { return policy_; }

    /// Returns the kind of that name; null if there is none.
    const runtime_kind* find(const kind_name& name) const;
    bool has_service(const service_name& name) const;

    /// Services that the upstreams of this node's service call.
    const std::vector<service_name>& called_services() const noexcept { return called_; }

private:
    bundle bundle_;
    admission_policy policy_;
    std::map<kind_name, runtime_kind> kinds_;
    std::vector<service_name> called_;
};

using shared_config = std::shared_ptr<const runtime_config>;

} // namespace trefoil
