#pragma once

#include "dispatch/admit_level.h"
#include "dispatch/first_hop_gate.h"
#include "dispatch/run_queue.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// Replays requests at a first hop, each of which makes calls one after another to one target of a
/// deep service, on a virtual clock. The level of the target reaches the first hop with answers.
class deep_service_load {
public:
    struct phase {
        std::chrono::milliseconds length{0};
        /// Requests a second, as a multiple of what the deep target can carry.
        double load = 1.0;
        /// Factor on the run time at the deep target.
        double slowness = 1.0;
    };

    struct result {
        std::uint64_t offered = 0;
        std::uint64_t refused = 0;
        /// All calls answered before the deadline.
        std::uint64_t served = 0;
        /// Begun and not finished: wasted work.
        std::uint64_t failed = 0;
        /// Still running at the end of the phase.
        std::uint64_t unfinished = 0;
    };

    static constexpr std::uint32_t slots = 20;
    static constexpr std::uint32_t calls_per_request = 8;
    static constexpr std::chrono::milliseconds mean_run{40};
    static constexpr std::chrono::milliseconds deadline{1000};
    /// Time for an answer to pass from the deep target to the first hop.
    static constexpr std::chrono::milliseconds feedback{100};

    explicit deep_service_load(std::uint64_t seed) : random_(seed) {}

    /// Requests that the deep target can carry in a second.
    static double capacity()
    {
        return slots / (std::chrono::duration<double>(mean_run).count() * calls_per_request);
    }

    /// Replays one phase after those before it, and counts the requests that began in it.
    result replay(const phase& p);

private:
    struct request {
        mono_time deadline;
        std::uint32_t calls_left = calls_per_request;
        result* counted = nullptr;
    };
    struct event {
        enum class kind : std::uint8_t { arrival, call_ends, feedback, wakeup } what;
        std::uint64_t ticket = 0;
        double level = 1.0;
    };

    void handle(const event& e, const phase& p, result& counted);
    void arrive(const phase& p, result& counted);
    void call(std::uint64_t id);
    void advance();
    void at(mono_time when, event e) { events_.emplace(when, e); }

    std::mt19937_64 random_;
    mono_time now_{std::chrono::hours(1)};
    mono_time phase_end_;
    double slowness_ = 1.0;
    std::multimap<mono_time, event> events_;
    run_queue queue_{slots};
    admit_level level_;
    first_hop_gate gate_;
    double known_level_ = 1.0;
    std::unordered_map<std::uint64_t, request> requests_;
    std::unordered_map<std::uint64_t, std::uint64_t> request_of_ticket_;
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
    case event::kind::call_ends: {
        queue_.finish(e.ticket, true, now_);
        const auto id = request_of_ticket_.at(e.ticket);
        request_of_ticket_.erase(e.ticket);
        advance();
        auto& r = requests_.at(id);
        at(now_ + feedback, {event::kind::feedback, 0, level_.value()});
        if (now_ > r.deadline) {
            if (r.counted != nullptr) {
                ++r.counted->failed;
            }
            requests_.erase(id);
        }
        else if (--r.calls_left > 0) {
            call(id);
        }
        else {
            if (r.counted != nullptr) {
                ++r.counted->served;
            }
            requests_.erase(id);
        }
        break;
    }
    case event::kind::feedback:
        known_level_ += 0.25 * (e.level - known_level_);
        break;
    case event::kind::wakeup:
        advance();
        break;
    }
}

inline void deep_service_load::arrive(const phase& p, result& counted)
{
    std::exponential_distribution<double> gap(capacity() * p.load);
    at(now_ + std::chrono::duration_cast<std::chrono::nanoseconds>(
                  std::chrono::duration<double>(gap(random_))),
       {event::kind::arrival});
    ++counted.offered;
    if (!gate_.decide(known_level_, 1, random_()).admitted) {
        ++counted.refused;
        return;
    }
    const auto id = ++last_id_;
    requests_[id] = {now_ + deadline, calls_per_request, &counted};
    call(id);
}

inline void deep_service_load::call(std::uint64_t id)
{
    const auto ticket = ++last_id_;
    request_of_ticket_[ticket] = id;
    queue_.offer({ticket, 1, 1, true, requests_.at(id).deadline}, now_);
    advance();
}

inline void deep_service_load::advance()
{
    const auto changes = queue_.advance(now_);
    level_.observe(queue_.load(), now_);
    for (const auto ticket : changes.refused) {
        const auto id = request_of_ticket_.at(ticket);
        request_of_ticket_.erase(ticket);
        if (auto* counted = requests_.at(id).counted; counted != nullptr) {
            ++counted->failed;
        }
        requests_.erase(id);
    }
    std::gamma_distribution<double> run(4.0, 0.25);
    for (const auto ticket : changes.started) {
        const auto time = std::chrono::duration<double>(mean_run) * run(random_) * slowness_;
        at(now_ + std::chrono::duration_cast<std::chrono::nanoseconds>(time),
           {event::kind::call_ends, ticket});
    }
    if (const auto next = queue_.next_wakeup()) {
        at(std::max(*next, now_), {event::kind::wakeup});
    }
}

} // namespace trefoil
