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

/// Fixed settings of the model that do not depend on the scenario.
struct model_constants {
    std::chrono::milliseconds network_one_way{1};
    /// Without control: patience of a hop or caller for one answer.
    std::chrono::milliseconds attempt_timeout{500};
    /// Without control: repeats of a hop after a failed or late answer.
    std::uint32_t hop_retries = 1;
    /// Repeats of a caller, with and without control.
    std::uint32_t caller_retries = 3;
    /// Without control: mean pause before a caller repeats.
    std::chrono::milliseconds caller_pause{100};
    std::chrono::milliseconds deadline{2000};
};

/// A target: its upstream with real slots and a queue inside it, and with control the node's
/// admission controller in front.
class target_node {
public:
    struct options {
        std::size_t service = 0;
        /// The upstream's real slots.
        std::uint32_t slots = 1;
        /// Without control, further calls are refused when this many are open.
        std::uint32_t connections = 1;
    };

    target_node(event_loop& loop, std::mt19937_64& random, const topology& model,
                const model_constants& constants, options opts,
                std::unique_ptr<any_controller> controller)
        : loop_(loop), random_(random), model_(model), constants_(constants), options_(opts),
          controller_(std::move(controller))
    {
    }

    /// Where calls of a service go; set once all targets exist.
    void set_route(std::function<target_node&(std::size_t)> route) { route_ = std::move(route); }

    /// A call arrives. Its on_answer runs later, once, unless the call is cancelled.
    void receive(const call_ptr& c);

    /// The node gives the call up; with control only.
    void cancel(const call_ptr& c);

    /// Multiplies the work of calls that begin from now on.
    void set_slowness(double factor) { slowness_ = factor; }

    /// Present fraction of the flow; 1 without control.
    double admit_fraction(std::size_t kind, std::size_t group) const;

    std::uint64_t received() const noexcept { return received_; }
    std::chrono::nanoseconds total_work() const noexcept { return total_work_; }
    const any_controller* controller() const noexcept { return controller_.get(); }

private:
    void apply(const admission_changes& changes);
    void arm_wakeup();
    void hand_off(const call_ptr& c);
    void begin_work(const call_ptr& c);
    void work_done(const call_ptr& c, std::chrono::nanoseconds spent);
    void send_child(const call_ptr& c);
    void child_answered(const call_ptr& c, const answer& a);
    void complete(const call_ptr& c, bool ok);
    void free_slot();
    void reply(const call_ptr& c);

    event_loop& loop_;
    std::mt19937_64& random_;
    const topology& model_;
    const model_constants& constants_;
    options options_;
    std::unique_ptr<any_controller> controller_;
    std::function<target_node&(std::size_t)> route_;
    std::unordered_map<std::uint64_t, call_ptr> by_ticket_;
    std::deque<call_ptr> upstream_queue_;
    std::uint32_t busy_ = 0;
    std::uint32_t open_ = 0;
    double slowness_ = 1.0;
    std::uint64_t received_ = 0;
    std::chrono::nanoseconds total_work_{0};
    mono_time armed_{};
};

} // namespace trefoil::experiment
