#pragma once

#include "any_controller.h"
#include "call.h"
#include "event_loop.h"
#include "topology.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <unordered_map>

namespace trefoil::experiment {

/// Constants of the model that do not depend on the scenario.
struct model_constants {
    std::chrono::milliseconds network_one_way{1};
    /// Without control: time that a hop or caller waits for one answer.
    std::chrono::milliseconds attempt_timeout{500};
    /// Without control: retries of a hop after a failed answer or a timeout.
    std::uint32_t hop_retries = 1;
    /// Retries of a caller, with and without control.
    std::uint32_t caller_retries = 3;
    /// Mean delay before a caller retries if the answer gives no retry_after.
    std::chrono::milliseconds caller_retry_delay{100};
    std::chrono::milliseconds deadline{2000};
};

/// Model of a target: an upstream with a number of slots and an internal queue and, with control,
/// the node with its admission controller in front of it.
class target_node {
public:
    struct options {
        std::size_t service = 0;
        /// The upstream's real slots.
        std::uint32_t slots = 1;
        /// Without control: maximum number of open calls; further calls fail at once.
        std::uint32_t connections = 1;
    };

    target_node(event_loop& loop, std::mt19937_64& random, const topology& model,
                const model_constants& constants, options opts,
                std::unique_ptr<any_controller> controller)
        : loop_(loop), random_(random), model_(model), constants_(constants), options_(opts),
          controller_(std::move(controller))
    {
    }

    /// Sets the function that returns the target of a service; call it once all targets exist.
    void set_target_lookup(std::function<target_node&(std::size_t)> lookup)
    {
        find_target_ = std::move(lookup);
    }

    /// Accepts an arriving call. Its on_answer runs once, at a later time, unless the call is
    /// cancelled.
    void receive(const call_ptr& c);

    /// Cancels a call and its downstream calls; with control only.
    void cancel(const call_ptr& c);

    /// Sets the factor on the work of calls that start from now on.
    void set_work_factor(double factor) { work_factor_ = factor; }

    /// Current admit fraction of the flow; 1 without control.
    double admit_fraction(std::size_t kind, std::size_t group) const;

    /// Number of calls received.
    std::uint64_t received() const noexcept { return received_; }
    /// Work done so far, also for cancelled calls.
    std::chrono::nanoseconds total_work() const noexcept { return total_work_; }
    /// Null without control.
    const any_controller* controller() const noexcept { return controller_.get(); }

private:
    void apply(const admission_changes& changes);
    void schedule_wakeup();
    void send_to_upstream(const call_ptr& c);
    void start_work(const call_ptr& c);
    void handle_work_done(const call_ptr& c, std::chrono::nanoseconds spent);
    void send_child(const call_ptr& c);
    void handle_child_answer(const call_ptr& c, const answer& a);
    void complete(const call_ptr& c, bool ok);
    void release_slot();
    void reply(const call_ptr& c);

    event_loop& loop_;
    std::mt19937_64& random_;
    const topology& model_;
    const model_constants& constants_;
    options options_;
    std::unique_ptr<any_controller> controller_;
    std::function<target_node&(std::size_t)> find_target_;
    std::unordered_map<std::uint64_t, call_ptr> by_ticket_;
    std::deque<call_ptr> upstream_queue_;
    std::uint32_t busy_slots_ = 0;
    std::uint32_t open_calls_ = 0;
    double work_factor_ = 1.0;
    std::uint64_t received_ = 0;
    std::chrono::nanoseconds total_work_{0};
    mono_time wakeup_at_{};
};

} // namespace trefoil::experiment
