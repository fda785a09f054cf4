#pragma once

#include "admission/admission_controller.h"
#include "admission/static_limit.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace trefoil::testing {

using namespace std::chrono_literals;

/// Three ranks (urgent, normal, browsing with share 0), two kinds of each, three groups.
inline object_set make_objects(std::uint32_t slots)
{
    object_set o;
    // Deliberately not sorted by urgency, because the policy must sort them.
    o.ranks = {{rank_name("browsing"), 9, 0.0},
               {rank_name("normal"), 2, 1.0},
               {rank_name("urgent"), 1, 2.0}};
    o.groups = {{group_name("a"), 1.0}, {group_name("b"), 2.0}, {group_name("c"), 1.0}};
    for (const auto* name : {"urgent", "normal", "browsing"}) {
        for (const auto* suffix : {"_1", "_2"}) {
            kind k;
            k.name = kind_name(std::string(name) + suffix);
            k.rank = rank_name(name);
            k.entry = service_name("target");
            o.kinds.push_back(k);
        }
    }
    o.services = {{service_name("target"), slots, 100}};
    return o;
}

inline admission_policy make_policy(std::uint32_t slots)
{
    return make_admission_policy(make_objects(slots), service_name("target"));
}

/// Records the work item and the state of each ticket.
class ticket_tracker {
public:
    enum class state { waiting, running, ended };
    struct record {
        work_item work;
        mono_time offered;
        state now = state::waiting;
    };

    void add(admission_ticket t, const work_item& w, mono_time now)
    {
        records_[t.value] = {w, now};
    }
    record& at(admission_ticket t) { return records_.at(t.value); }

    std::vector<admission_ticket> with_state(state s) const
    {
        std::vector<admission_ticket> found;
        for (const auto& [t, r] : records_) {
            if (r.now == s) {
                found.push_back({t});
            }
        }
        return found;
    }

private:
    std::map<std::uint64_t, record> records_;
};

struct admission_fixture {
    mono_time now{1h};
    std::uint64_t next_id = 0;

    work_item make_work(std::uint32_t kind, std::uint32_t group, std::chrono::nanoseconds left = 2s,
                        std::uint32_t depth = 0, double admit_point = 0.5)
    {
        const auto id = request_id::from_parts(wall_time{}, 0, ++next_id);
        return {id, kind_index{kind}, group_index{group}, depth, admit_point, now + left};
    }
};

} // namespace trefoil::testing
