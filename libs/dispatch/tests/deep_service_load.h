#pragma once

#include "dispatch/admit_level.h"
#include "dispatch/entry_admission.h"
#include "dispatch/route_levels.h"
#include "dispatch/run_queue.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// Discrete-event simulation of requests that enter at several nodes and each make calls to one
/// target of a deep service. An entry node receives the level of the target only with the responses
/// to its own requests.
class deep_service_load {
public:
    struct options {
        /// Number of entry nodes, each with its own view of the level.
        std::uint32_t entry_nodes = 1;
        /// Number of call chains that a request runs in parallel.
        std::uint32_t chains = 1;
        /// Number of sequential calls in a chain.
        std::uint32_t calls_per_chain = 8;
        std::uint32_t slots = 20;
        std::chrono::milliseconds mean_run{40};
        /// Time limit of a request.
        std::chrono::milliseconds deadline{1000};
        /// Time limit of one call.
        std::chrono::milliseconds call_timeout{1000};
    };

    struct phase {
        std::chrono::milliseconds length{0};
        /// Requests per second, as a multiple of the capacity of the deep target.
        double load = 1.0;
        /// Factor on the run time at the deep target.
        double slowness = 1.0;
    };

    struct result {
        std::uint64_t offered = 0;
        std::uint64_t refused = 0;
        /// Requests with all calls answered before the deadline.
        std::uint64_t served = 0;
        /// Requests admitted but not finished: wasted work.
        std::uint64_t failed = 0;
        /// Still running at the end of the phase.
        std::uint64_t unfinished = 0;
    };

    /// Latency of a response from the deep target to the entry node.
    static constexpr std::chrono::milliseconds feedback_delay{100};

    explicit deep_service_load(std::uint64_t seed) : deep_service_load(seed, options{}) {}
    deep_service_load(std::uint64_t seed, const options& o)
        : options_(o), random_(seed), queue_(o.slots), admissions_(o.entry_nodes),
          levels_(o.entry_nodes)
    {
    }

    /// Requests per second that the deep target can serve at its normal speed.
    double capacity() const
    {
        return options_.slots / (std::chrono::duration<double>(options_.mean_run).count() *
                                 options_.chains * options_.calls_per_chain);
    }

    /// Simulates one phase, starting in the state that the phases before it left, and counts the
    /// requests that arrived in it.
    result replay(const phase& p);

private:
    struct request {
        mono_time deadline;
        std::uint32_t calls_left = 0;
        std::size_t entry_node = 0;
        result* counted = nullptr;
    };
    struct running_call {
        std::uint64_t request = 0;
        /// Number of calls left in its chain after this one.
        std::uint32_t following = 0;
        mono_time deadline;
    };
    struct event {
        enum class kind : std::uint8_t { arrival, call_ends, feedback, wakeup } what;
        std::uint64_t ticket = 0;
        double level = 1.0;
        std::size_t entry_node = 0;
    };

    static called_route deep_route() { return {1, service_name("deep")}; }
    void handle(const event& e, const phase& p, result& counted);
    void arrive(const phase& p, result& counted);
    void call(std::uint64_t id, std::uint32_t following);
    void end_call(std::uint64_t ticket);
    void end_request(std::uint64_t id, bool served);
    void advance();
    void at(mono_time when, event e) { events_.emplace(when, e); }

    options options_;
    std::mt19937_64 random_;
    mono_time now_{std::chrono::hours(1)};
    mono_time phase_end_;
    double slowness_ = 1.0;
    std::multimap<mono_time, event> events_;
    run_queue queue_;
    admit_level level_;
    std::vector<entry_admission> admissions_;
    std::vector<route_levels> levels_;
    std::unordered_map<std::uint64_t, request> requests_;
    std::unordered_map<std::uint64_t, running_call> calls_;
    std::uint64_t last_id_ = 0;
};

inline deep_service_load::result deep_service_load::replay(const phase& p)
{
    result counted;
    slowness_ = p.slowness;
    phase_end_ = now_ + p.length;
    at(now_, {event::kind::arrival});
    const auto end = phase_end_;
    while (!events_.empty() && events_.begin()->first < end) {
        const auto [when, e] = *events_.begin();
        events_.erase(events_.begin());
        now_ = when;
        handle(e, p, counted);
    }
    now_ = end;
    // Requests that are still running are not counted in any phase.
    for (auto& [id, r] : requests_) {
        counted.unfinished += r.counted == nullptr ? 0 : 1;
        r.counted = nullptr;
    }
    std::erase_if(events_, [](const auto& e) { return e.second.what == event::kind::arrival; });
    return counted;
}

inline void deep_service_load::handle(const event& e, const phase& p, result& counted)
{
    switch (e.what) {
    case event::kind::arrival:
        arrive(p, counted);
        break;
    case event::kind::call_ends:
        end_call(e.ticket);
        break;
    case event::kind::feedback:
        levels_[e.entry_node].record(deep_route(), e.level, now_);
        break;
    case event::kind::wakeup:
        advance();
        break;
    }
}

inline void deep_service_load::end_call(std::uint64_t ticket)
{
    queue_.finish(ticket, true, now_);
    const auto call_ended = calls_.at(ticket);
    calls_.erase(ticket);
    advance();
    const auto it = requests_.find(call_ended.request);
    if (it == requests_.end()) {
        return; // Another of its calls failed.
    }
    if (now_ > call_ended.deadline) {
        end_request(call_ended.request, false);
    }
    else if (--it->second.calls_left == 0) {
        end_request(call_ended.request, true);
    }
    else if (call_ended.following > 0) {
        call(call_ended.request, call_ended.following - 1);
    }
}

inline void deep_service_load::end_request(std::uint64_t id, bool served)
{
    const auto& r = requests_.at(id);
    if (r.counted != nullptr) {
        ++(served ? r.counted->served : r.counted->failed);
    }
    at(now_ + feedback_delay, {event::kind::feedback, 0, level_.value(), r.entry_node});
    requests_.erase(id);
}

inline void deep_service_load::arrive(const phase& p, result& counted)
{
    std::exponential_distribution<double> gap(capacity() * p.load);
    at(now_ + std::chrono::duration_cast<std::chrono::nanoseconds>(
                  std::chrono::duration<double>(gap(random_))),
       {event::kind::arrival});
    ++counted.offered;
    const auto entry_node = random_() % levels_.size();
    const auto level = levels_[entry_node].level_of(deep_route(), now_);
    if (!admissions_[entry_node].decide({1, 1}, level, random_()).admitted) {
        ++counted.refused;
        return;
    }
    const auto id = ++last_id_;
    requests_[id] = {now_ + options_.deadline, options_.chains * options_.calls_per_chain,
                     entry_node, &counted};
    for (std::uint32_t chain = 0; chain < options_.chains; ++chain) {
        call(id, options_.calls_per_chain - 1);
    }
}

inline void deep_service_load::call(std::uint64_t id, std::uint32_t following)
{
    const auto r = requests_.find(id);
    if (r == requests_.end()) {
        return; // Another of its calls was refused.
    }
    const auto ticket = ++last_id_;
    const auto deadline = std::min(r->second.deadline, now_ + options_.call_timeout);
    calls_[ticket] = {id, following, deadline};
    queue_.offer({ticket, 1, 1, true, deadline, r->second.deadline}, now_);
    advance();
}

inline void deep_service_load::advance()
{
    const auto changes = queue_.advance(now_);
    level_.observe(queue_.load(), now_);
    for (const auto ticket : changes.refused) {
        const auto id = calls_.at(ticket).request;
        calls_.erase(ticket);
        if (requests_.contains(id)) {
            end_request(id, false);
        }
    }
    std::gamma_distribution<double> run(4.0, 0.25);
    for (const auto ticket : changes.started) {
        const auto time =
            std::chrono::duration<double>(options_.mean_run) * run(random_) * slowness_;
        at(now_ + std::chrono::duration_cast<std::chrono::nanoseconds>(time),
           {event::kind::call_ends, ticket});
    }
    if (const auto next = queue_.next_wakeup()) {
        at(std::max(*next, now_), {event::kind::wakeup});
    }
}

} // namespace trefoil
