#pragma once

#include "admission/work_item.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace trefoil {

/// Waiting tickets of one flow, a (kind, group) pair, in order of decreasing call depth and then of
/// arrival.
class flow_queue {
public:
    /// The attributes of a work item that determine its position.
    struct entry {
        std::uint32_t depth = 0;
        double admit_point = 0.0;
        admission_ticket ticket;
    };

    /// Adds or removes an entry.
    void push(const entry& e) { entries_.insert(e); }
    void erase(const entry& e) { entries_.erase(e); }

    /// The entry to start next. The queue must not be empty.
    const entry& front() const { return *entries_.begin(); }

    /// The entry to evict: of the entries with the lowest depth, the one with the highest admit
    /// point. The queue must not be empty.
    const entry& victim() const;

    /// Number of waiting tickets.
    std::size_t size() const noexcept { return entries_.size(); }
    bool empty() const noexcept { return entries_.empty(); }

private:
    struct serve_order {
        bool operator()(const entry& a, const entry& b) const
        {
            return a.depth != b.depth ? a.depth > b.depth : a.ticket.value < b.ticket.value;
        }
    };
    std::set<entry, serve_order> entries_;
};

} // namespace trefoil
