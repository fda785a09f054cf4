#pragma once

#include "base/names.h"
#include "base/time.h"
#include "dispatch/target_state.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace trefoil {

/// Tuning of placement.
struct placement_options {
    /// A target in another availability zone is chosen only if its congestion is below this
    /// fraction of that of the best target in the own zone: traffic between zones costs more than
    /// traffic within one.
    double other_zone_factor = 0.6;
    /// Load per slot at which congestion doubles, and the exponent of its growth. Slots are seldom
    /// all occupied below this load, and often above it.
    double congested_load = 0.9;
    double congestion_exponent = 4.0;
    /// Factor on the expected time of the target on the own VM, which needs no network.
    double own_vm_factor = 0.85;
    /// Weight of the load in the expected time, so that a fast target is not filled to its last
    /// slot while others idle.
    double load_weight = 1.0;
    /// Weight of failures: the expected time is multiplied by 1 + failure_weight * failure share.
    double failure_weight = 8.0;
    /// Weight of lateness: the expected time is multiplied by 1 + late_weight * the chance that the
    /// request misses its latency objective at the target.
    double late_weight = 4.0;
    /// A reported run time counts for e times less after this time, so that a target that was slow
    /// is tried again.
    std::chrono::milliseconds run_time_lifetime{5000};
    /// A load report older than this is ignored; the target is assumed to be half loaded.
    std::chrono::milliseconds load_lifetime{2000};
    /// Run time assumed while no target of the service has reported one.
    std::chrono::milliseconds initial_hold{50};
    /// Factor on the expected time of a target that has just started and has not reported a run
    /// time: such a target is slower by about this much.
    double warming_factor = 2.0;
    /// How long a target gets no requests after it was unreachable. Doubles with each consecutive
    /// failure, up to `max_suspension`.
    std::chrono::milliseconds first_suspension{250};
    std::chrono::milliseconds max_suspension{2000};
    /// Weight of a new result in the exponentially smoothed failure share.
    double failure_smoothing = 0.1;
    /// A failure share counts for e times less after this time. A target that gets no requests
    /// reports no success either, and would otherwise never be tried again.
    std::chrono::milliseconds failure_lifetime{2000};
};

/// The request that a target is chosen for.
struct placed_request {
    std::uint32_t route = 0;
    /// Time until its latency objective; 0 if it has passed or is not known.
    std::chrono::milliseconds objective_left{0};
};

/// Location of this node.
struct node_location {
    availability_zone_name zone;
    /// IP address of the node's VM.
    std::string address;
};

/// Load balancer: chooses the target of each request and maintains the target statistics that the
/// choice is based on.
///
/// Load pattern: targets of one service differ in speed and load, and single targets become slow,
/// fail a fraction of their requests or disappear. The target with the shorter expected time of two
/// random candidates is chosen (power of two choices), so that a node with a stale view of the load
/// does not send everything to one target. Targets of other availability zones are used only if the
/// own zone is clearly slower. A request with a tight latency objective leaves a target that would
/// probably miss it, while requests that can wait stay there.
class placement {
public:
    placement(node_location own, placement_options options = {})
        : own_(std::move(own)), options_(options)
    {
    }

    /// Chooses the target for a request; null if none is usable. `tried` holds the ids of the
    /// targets that the request was sent to before; `random` is a uniformly distributed number.
    std::shared_ptr<target_state> choose(std::span<const std::shared_ptr<target_state>> targets,
                                         std::span<const std::string> tried, std::uint64_t random,
                                         mono_time now, const placed_request& request = {}) const;

    /// Expected time of one more request at the target, weighted by load and failures. Used for
    /// comparison only. `default_hold` is the run time assumed if the target has reported none.
    std::chrono::duration<double> expected_time(const target_state& t,
                                                std::chrono::milliseconds default_hold,
                                                mono_time now,
                                                const placed_request& request = {}) const;

    /// Measure of how much a request suffers at the target from its load, its failures and a missed
    /// latency objective. Unlike the expected time, it is the same for slow and fast targets that
    /// meet the objective. Used for comparison only.
    double congestion(const target_state& t, mono_time now, const placed_request& request) const;

    /// Records that a request was sent to the target.
    void record_sent(target_state& t) const;
    /// Records that a request is no longer in flight. `failed` is set if the target failed it for a
    /// reason other than overload.
    void record_ended(target_state& t, bool failed, mono_time now) const;
    /// Records a load report that was received with a response.
    void record_load(target_state& t, const target_load& load, mono_time now) const;
    /// Records the run time of a route that was reported with a response.
    void record_run_time(target_state& t, std::uint32_t route, const run_time& time,
                         mono_time now) const;
    /// Records that the target or its VM was unreachable, and suspends the target.
    void record_unreachable(target_state& t, mono_time now) const;
    /// Records that the target answered, which ends its suspension.
    void record_reached(target_state& t) const;

private:
    bool is_usable(const target_state& t, std::span<const std::string> tried) const;
    std::shared_ptr<target_state>
    better_of_two(std::span<const std::shared_ptr<target_state>> candidates, std::uint64_t random,
                  std::chrono::milliseconds default_hold, mono_time now,
                  const placed_request& request) const;
    /// Running and waiting requests per slot, with one more request.
    double load_per_slot(const target_state& t, mono_time now) const;
    double failure_share(const target_state& t, mono_time now) const;
    /// Factor for failures, a missed objective and the network.
    double risk_factor(const target_state& t, mono_time now, const placed_request& request) const;
    double late_chance(const target_state& t, const placed_request& request, mono_time now) const;

    node_location own_;
    placement_options options_;
};

} // namespace trefoil
