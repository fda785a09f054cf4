#pragma once

#include "quarantine/crash_suspects.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// Discrete-event simulation of several nodes. One content, the poison, crashes every upstream that
/// runs it. A node sends its crash records to all nodes, which receive them after a random delay.
class crash_fleet {
public:
    static constexpr content_fingerprint poison{1};
    static constexpr std::chrono::milliseconds max_delay{300};
    static constexpr std::chrono::milliseconds run_time{20};

    /// One request with the poison that a node forwarded to its upstream or rejected.
    struct poison_event {
        mono_time at;
        request_id id;
        crash_check_result result;
    };

    crash_fleet(std::uint64_t seed, std::size_t nodes) : random_(seed)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            nodes_.push_back(std::make_unique<crash_suspects>(vm_name("vm-" + std::to_string(i)),
                                                              vm_incarnation{1}));
        }
    }

    mono_time now() const { return now_; }
    std::uint64_t draw() { return random_(); }
    std::size_t node_count() const { return nodes_.size(); }
    crash_suspects& node(std::size_t i) { return *nodes_[i]; }
    request_id new_id() { return request_id::mint(wall_time{}, random_); }

    /// Times of the crashes so far.
    const std::vector<mono_time>& crashes() const { return crashes_; }
    /// Requests with the poison so far.
    const std::vector<poison_event>& poison_events() const { return poison_events_; }
    bool was_in_flight_at_crash(const request_id& id, mono_time before) const
    {
        const auto it = crashed_ids_.find(id);
        return it != crashed_ids_.end() && it->second <= before;
    }

    /// Sends a request to a node now and returns the result of its check.
    crash_check_result send(std::size_t target, const request_id& id, content_fingerprint content)
    {
        const auto result = nodes_[target]->started(id, content, now_);
        if (content == poison) {
            poison_events_.push_back({now_, id, result});
        }
        if (result.decision == crash_decision::refuse) {
            return result;
        }
        running_.push_back({target, id});
        schedule(run_time, [this, target, id, content] { finish(target, id, content); });
        return result;
    }

    /// Advances the time and processes the events that are due, in order.
    void advance(std::chrono::milliseconds time)
    {
        const auto end = now_ + time;
        while (!events_.empty() && events_.begin()->first <= end) {
            const auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        now_ = end;
    }

private:
    struct running_request {
        std::size_t node;
        request_id id;
    };

    void schedule(std::chrono::nanoseconds delay, std::function<void()> action)
    {
        events_.emplace(now_ + delay, std::move(action));
    }

    void finish(std::size_t target, const request_id& id, content_fingerprint content)
    {
        // Ignore a request that an earlier crash of this upstream ended.
        const auto is_this = [&](const running_request& r) {
            return r.node == target && r.id == id;
        };
        if (std::erase_if(running_, is_this) == 0) {
            return;
        }
        if (content == poison) {
            crash(target, id);
        }
        else {
            nodes_[target]->completed(id, content, now_);
        }
        push(target);
    }

    void crash(std::size_t target, const request_id& cause)
    {
        crashes_.push_back(now_);
        crashed_ids_.try_emplace(cause, now_);
        std::erase_if(running_, [&](const running_request& r) {
            if (r.node == target) {
                crashed_ids_.try_emplace(r.id, now_);
            }
            return r.node == target;
        });
        nodes_[target]->crashed(now_);
    }

    void push(std::size_t from)
    {
        const auto reports = nodes_[from]->reports(64, now_);
        for (std::size_t to = 0; to < nodes_.size(); ++to) {
            const std::chrono::milliseconds delay(random_() % max_delay.count());
            schedule(delay, [this, from, to, reports] {
                nodes_[to]->merge(vm_name("vm-" + std::to_string(from)), reports, now_);
            });
        }
    }

    std::mt19937_64 random_;
    mono_time now_{std::chrono::hours(1)};
    std::vector<std::unique_ptr<crash_suspects>> nodes_;
    std::multimap<mono_time, std::function<void()>> events_;
    std::vector<running_request> running_;
    std::vector<mono_time> crashes_;
    std::unordered_map<request_id, mono_time> crashed_ids_;
    std::vector<poison_event> poison_events_;
};

} // namespace trefoil
