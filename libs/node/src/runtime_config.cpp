#include "node/runtime_config.h"

#include <algorithm>
#include <utility>

namespace trefoil {

namespace {

std::vector<service_name> services_called_by(const object_set& objects, const service_name& from)
{
    std::vector<service_name> called;
    for (const auto& edge : objects.calls) {
        if (edge.from == from && std::ranges::find(called, edge.to) == called.end()) {
            called.push_back(edge.to);
        }
    }
    return called;
}

runtime_kind make_runtime_kind(const object_set& objects, const kind& definition)
{
    runtime_kind k{definition, definition.rank, objects.path_of(definition), {}};
    for (const auto& s : k.path) {
        auto from_service = definition;
        from_service.entry = s;
        k.reachable[s] = objects.path_of(from_service);
    }
    return k;
}

} // namespace

runtime_config::runtime_config(bundle b, const service_name& own_service)
    : bundle_(std::move(b)), policy_(make_admission_policy(bundle_.objects, own_service)),
      called_(services_called_by(bundle_.objects, own_service))
{
    for (const auto& definition : bundle_.objects.kinds) {
        kinds_[definition.name] = make_runtime_kind(bundle_.objects, definition);
    }
}

const runtime_kind* runtime_config::find(const kind_name& name) const
{
    const auto it = kinds_.find(name);
    return it == kinds_.end() ? nullptr : &it->second;
}

bool runtime_config::has_service(const service_name& name) const
{
    return bundle_.objects.find(name) != nullptr;
}

} // namespace trefoil
