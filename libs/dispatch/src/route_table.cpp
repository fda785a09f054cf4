#include "dispatch/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace trefoil {

namespace {

std::string lower_case(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

route_table::route_table(traffic_config config) : config_(std::move(config))
{
    for (const auto& r : config_.routes) {
        by_host_[lower_case(r.host)].push_back(&r);
    }
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](const route* a, const route* b) {
            return a->prefix.size() > b->prefix.size();
        });
    }
}

const route* route_table::find(std::string_view host, std::string_view target) const
{
    auto it = by_host_.find(lower_case(host));
    if (it == by_host_.end()) {
        it = by_host_.find(lower_case(without_port(host)));
    }
    if (it == by_host_.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    for (const auto* r : it->second) {
        if (path.starts_with(r->prefix)) {
            return r;
        }
    }
    return nullptr;
}

} // namespace trefoil
