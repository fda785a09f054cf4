#include "call_graph.h"

#include <algorithm>
#include <utility>

namespace trefoil {

namespace {

/// One entry of the explicit stack of the depth-first search.
struct search_frame {
    service_name service;
    std::size_t next_edge = 0;
};

std::vector<service_name> extract_cycle(const std::vector<search_frame>& path,
                                        const service_name& repeated)
{
    std::vector<service_name> cycle;
    auto it = std::ranges::find(path, repeated, &search_frame::service);
    for (; it != path.end(); ++it) {
        cycle.push_back(it->service);
    }
    cycle.push_back(repeated);
    return cycle;
}

} // namespace

call_graph::call_graph(const std::vector<call_edge>& edges)
{
    for (const auto& edge : edges) {
        edges_[edge.from].push_back(&edge);
    }
}

std::vector<service_name> call_graph::find_cycle() const
{
    std::set<service_name> finished;
    for (const auto& [start, unused] : edges_) {
        // The search is iterative, because recursion would overflow the call stack on a long chain
        // of services.
        std::vector<search_frame> path;
        std::set<service_name> on_path;
        if (!finished.contains(start)) {
            path.push_back({start});
            on_path.insert(start);
        }
        while (!path.empty()) {
            const auto& edges = edges_from(path.back().service);
            if (path.back().next_edge == edges.size()) {
                finished.insert(path.back().service);
                on_path.erase(path.back().service);
                path.pop_back();
                continue;
            }
            const auto& next = edges[path.back().next_edge++]->to;
            if (on_path.contains(next)) {
                return extract_cycle(path, next);
            }
            if (!finished.contains(next)) {
                path.push_back({next});
                on_path.insert(next);
            }
        }
    }
    return {};
}

std::set<service_name> call_graph::reachable_services(const kind& k) const
{
    std::set<service_name> reached{k.entry};
    std::vector<service_name> pending{k.entry};
    while (!pending.empty()) {
        const auto from = std::move(pending.back());
        pending.pop_back();
        for (const auto* edge : edges_from(from)) {
            const bool carries =
                edge->kinds.empty() || std::ranges::find(edge->kinds, k.name) != edge->kinds.end();
            if (carries && reached.insert(edge->to).second) {
                pending.push_back(edge->to);
            }
        }
    }
    return reached;
}

const call_graph::edge_list& call_graph::edges_from(const service_name& name) const
{
    static const edge_list none;
    const auto it = edges_.find(name);
    return it == edges_.end() ? none : it->second;
}

} // namespace trefoil
