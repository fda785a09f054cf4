#pragma once

#include "admission/admission_changes.h"
#include "admission/admission_options.h"
#include "admission/admission_policy.h"
#include "admission/admission_snapshot.h"
#include "admission/admit_fractions.h"
#include "admission/completion.h"
#include "admission/concurrency_limit.h"
#include "admission/fair_queue.h"
#include "admission/flow_costs.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// Thrown by `finish` if the ticket is not running.
class unknown_ticket : public error {
public:
    explicit unknown_ticket(admission_ticket ticket);
};

/// The part of admission_controller that does not depend on the type of the limit. The caller
/// passes the current limit to each call. The member functions have the semantics of the functions
/// of the same name in admission_controller, except as stated.
class admission_core {
public:
    admission_core(admission_policy policy, std::uint64_t seed, admission_options options);

    /// Appends to `changes` and returns the new ticket.
    admission_ticket offer(const work_item& item, std::uint32_t limit, mono_time now,
                           admission_changes& changes);
    /// Frees the slot without starting waiting work, and returns the sample for the limit
    /// algorithm. `advance` must follow.
    limit_sample finish(admission_ticket ticket, const completion& c, std::uint32_t limit,
                        mono_time now);
    /// Frees the slot or queue position without starting waiting work. `advance` must follow.
    void cancel(admission_ticket ticket, mono_time now);
    /// Refuses expired work, starts waiting work and updates the admit fractions.
    admission_changes advance(std::uint32_t limit, mono_time now);
    void replace_policy(admission_policy policy, std::uint32_t limit, mono_time now,
                        admission_changes& changes);
    void start_cold_ramp(mono_time now) { cold_since_ = now; }

    std::optional<mono_time> next_wakeup(mono_time now) const;
    double admit_fraction(kind_index kind, group_index group) const;
    admission_snapshot snapshot(std::uint32_t limit, mono_time now) const;
    const admission_policy& policy() const noexcept { return policy_; }

private:
    struct flow_id {
        kind_index kind;
        group_index group;
    };
    struct running_work {
        /// None if the kind or group was removed by a policy change.
        std::optional<flow_id> flow;
        mono_time started;
    };
    using refusal_key = std::tuple<rank_index, group_index, refusal_reason>;

    std::uint32_t effective_limit(std::uint32_t limit, mono_time now) const;
    bool has_spare_capacity(std::uint32_t limit, mono_time now) const;
    std::uint32_t in_flight() const { return static_cast<std::uint32_t>(running_.size()); }
    fair_queue make_queue() const;
    std::uint32_t& running_count(const flow_id& flow);
    queued_item make_item(const work_item& work, mono_time now);
    bool can_start_in_time(const queued_item& item, std::uint32_t limit, mono_time now) const;
    void refuse_expired(mono_time now, admission_changes& changes);
    void start_waiting(std::uint32_t limit, mono_time now, admission_changes& changes);
    void evict_over_bound(mono_time now, admission_changes& changes);
    void refuse(const queued_item& item, refusal_reason reason, admission_changes& changes);
    void count_refusal(const work_item& work, refusal_reason reason);
    std::chrono::milliseconds jittered_retry_after(const work_item& work);
    void end_running(const running_work& r);
    /// Copies the learned state, the counters and the running work of `old`. Ranks, groups and
    /// kinds are matched by name; those without a match are dropped.
    void copy_state_from(const admission_core& old);

    admission_policy policy_;
    admission_options options_;
    std::uint64_t random_state_;
    fair_queue queue_;
    flow_costs costs_;
    admit_fractions fractions_;
    std::unordered_map<std::uint64_t, running_work> running_;
    /// Number of running work items of each flow, indexed by kind * number of groups + group.
    std::vector<std::uint32_t> running_by_flow_;
    std::vector<std::uint64_t> started_by_rank_;
    std::map<refusal_key, std::uint64_t> refusals_;
    std::uint64_t last_ticket_ = 0;
    std::optional<mono_time> cold_since_;
};

} // namespace trefoil
