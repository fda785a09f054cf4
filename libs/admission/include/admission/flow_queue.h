#pragma once

#include "admission/work_item.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace trefoil {

/// Waiting tickets of one (kind, group): deeper work first, then in order of arrival.
class flow_queue {
public:
    struct entry {
        std::uint32_t depth = 0;
        double admit_point = 0.0;
        admission_ticket ticket;
    };

    void push(const entry& e) { entries_.insert(e); }
    void erase(const entry& e) { entries_.erase(e); }

    /// The entry to start next. The queue must not be empty.
    const entry& front() const { return *entries_.begin(); }

    /// The entry to displace: the least deep, then that with the highest admit point. The queue
    /// must not be empty.
    const entry& victim() const;

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
