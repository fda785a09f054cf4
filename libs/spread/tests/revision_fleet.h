#pragma once

#include "spread/revision_gossip.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace trefoil {

/// Simulates a fleet of nodes and a store with a virtual clock. The decisions of the nodes are
/// those of revision_gossip; the fleet only delivers messages and calls, with delays and injected
/// faults.
class revision_fleet {
public:
    struct options {
        std::size_t nodes = 30;
        std::size_t zones = 5;
        /// Requests per second that each node sends to random nodes. Each one is answered.
        double requests_per_second = 20.0;
        std::uint64_t seed = 1;
    };

    explicit revision_fleet(options o) : options_(o), random_(o.seed), nodes_(o.nodes)
    {
        for (std::size_t i = 0; i < o.nodes; ++i) {
            members_.push_back(
                {vm_name(std::to_string(i)), availability_zone_name(std::to_string(i % o.zones))});
        }
        for (std::size_t i = 0; i < o.nodes; ++i) {
            start(i);
        }
    }

    void run_for(std::chrono::nanoseconds time)
    {
        const auto end = now_ + time;
        while (!events_.empty() && events_.top().at <= end) {
            auto next = events_.top();
            events_.pop();
            now_ = next.at;
            next.run();
        }
        now_ = end;
    }

    /// Publishes a change.
    void publish()
    {
        ++store_version_.revision;
        for (auto& waiting : std::exchange(waiting_, {})) {
            answer(waiting);
        }
    }

    /// The store returns from a copy of this revision. Open watches are cut.
    void return_from_copy(std::uint64_t revision)
    {
        store_version_ = {store_version_.era + 1, revision};
        for (const auto& waiting : std::exchange(waiting_, {})) {
            if (nodes_[waiting.node].incarnation == waiting.incarnation) {
                at(waiting.node, std::chrono::milliseconds(4),
                   [this, i = waiting.node] { call_failed(i); });
            }
        }
    }

    /// Runs until all live nodes except those for which `is_excluded` returns true have the newest
    /// revision, for at most `limit`. Returns the elapsed time.
    std::chrono::milliseconds time_to_all(
        std::chrono::milliseconds limit,
        const std::function<bool(std::size_t)>& is_excluded = [](std::size_t) { return false; })
    {
        const auto begin = now_;
        while (now_ - begin < limit) {
            run_for(std::chrono::milliseconds(5));
            bool is_done = true;
            for (std::size_t i = 0; i < nodes_.size() && is_done; ++i) {
                is_done = !nodes_[i].alive || is_excluded(i) || nodes_[i].version == store_version_;
            }
            if (is_done) {
                break;
            }
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(now_ - begin);
    }

    /// Starts the process of a node, without any state.
    void start(std::size_t i)
    {
        auto& n = nodes_[i];
        n = {};
        n.incarnation = ++last_incarnation_;
        n.alive = true;
        n.gossip = std::make_unique<revision_gossip>(members_[i], now_);
        // The nodes of a real fleet do not tick in step.
        at(i, draw(0, 100), [this, i] { tick(i); });
        if (options_.requests_per_second > 0.0) {
            at(i, draw(0, 100), [this, i] { request(i); });
        }
    }

    void kill(std::size_t i) { nodes_[i].alive = false; }
    /// Partitions a node from all other nodes, but not from the store: connections stay open, but
    /// all messages are lost.
    void set_isolated(std::size_t i, bool isolated) { nodes_[i].isolated = isolated; }
    /// Makes the store reject all calls of this node.
    void set_rejected(std::size_t i, bool rejected) { nodes_[i].rejected = rejected; }
    void set_store_up(bool up) { store_up_ = up; }

    std::vector<std::size_t> watchers() const
    {
        std::vector<std::size_t> found;
        for (const auto& name : chosen_watchers(members_, revision_gossip_options().watcher)) {
            found.push_back(std::stoul(name.str()));
        }
        return found;
    }

    std::size_t size() const noexcept { return nodes_.size(); }
    std::uint64_t calls() const noexcept { return calls_; }
    /// Full reads of all nodes.
    std::uint64_t reads() const noexcept { return reads_; }
    std::uint64_t messages() const noexcept { return messages_; }

    /// Maximum number of store calls by all nodes in any one second since `since`.
    std::uint64_t max_calls_per_second(mono_time since) const
    {
        std::uint64_t max = 0;
        for (const auto& [second, count] : calls_by_second_) {
            if (second >= since.time_since_epoch() / std::chrono::seconds(1)) {
                max = std::max(max, count);
            }
        }
        return max;
    }

    mono_time now() const noexcept { return now_; }

private:
    struct node {
        std::unique_ptr<revision_gossip> gossip;
        published_version version;
        std::uint64_t incarnation = 0;
        bool alive = false;
        bool isolated = false;
        bool rejected = false;
        bool calling = false;
        bool must_read = true;
    };

    struct event {
        mono_time at;
        std::uint64_t order = 0;
        std::function<void()> run;

        friend bool operator<(const event& a, const event& b)
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    struct waiting_watch {
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        published_version after;
        std::uint64_t number = 0;
    };

    std::chrono::milliseconds draw(int min, int max)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(min, max)(random_));
    }

    /// Schedules an action of the node. It is dropped if the process has exited by then.
    void at(std::size_t i, std::chrono::nanoseconds delay, std::function<void()> run)
    {
        const auto incarnation = nodes_[i].incarnation;
        events_.push({now_ + delay, ++last_order_, [this, i, incarnation, run = std::move(run)] {
                          if (nodes_[i].alive && nodes_[i].incarnation == incarnation) {
                              run();
                          }
                      }});
    }

    void send(std::size_t from, std::size_t to, std::function<void()> on_arrival)
    {
        ++messages_;
        if (!nodes_[from].isolated && !nodes_[to].isolated && nodes_[to].alive) {
            at(to, draw(1, 5), std::move(on_arrival));
        }
    }

    state_version version(std::size_t i)
    {
        return nodes_[i].gossip->version(nodes_[i].version, now_);
    }

    /// Processes a message of `from`, with its state version, at `to`.
    void receive(std::size_t from, std::size_t to, const state_version& theirs)
    {
        if (nodes_[to].gossip->received(theirs, nodes_[to].version, now_)) {
            pull(to, from);
        }
    }

    void pull(std::size_t i, std::size_t peer)
    {
        send(i, peer, [this, i, peer, theirs = version(i)] {
            receive(i, peer, theirs);
            send(peer, i, [this, i, peer, answer = version(peer)] {
                receive(peer, i, answer);
                apply_version(i, answer.version, false);
            });
        });
    }

    void request(std::size_t i)
    {
        const auto peer = random_() % nodes_.size();
        send(i, peer, [this, i, peer, theirs = version(i)] {
            receive(i, peer, theirs);
            send(peer, i, [this, i, peer, answer = version(peer)] { receive(peer, i, answer); });
        });
        const auto mean = std::chrono::duration<double>(1.0 / options_.requests_per_second);
        at(i, std::chrono::duration_cast<std::chrono::nanoseconds>(mean),
           [this, i] { request(i); });
    }

    void apply_version(std::size_t i, const published_version& newest, bool from_store)
    {
        auto& n = nodes_[i];
        const auto known = n.version;
        if (newest <= known) {
            return;
        }
        n.version = newest;
        n.gossip->set_members(members_);
        if (known.revision == 0) {
            return;
        }
        for (const auto& name : n.gossip->push_targets(from_store)) {
            const auto to = std::stoul(name.str());
            send(i, to, [this, i, to, theirs = version(i)] {
                receive(i, to, theirs);
                if (theirs.version.era > nodes_[to].version.era) {
                    pull(to, i); // Changes of a later era do not follow on an earlier one.
                    return;
                }
                apply_version(to, theirs.version, false);
            });
        }
    }

    void tick(std::size_t i)
    {
        call_if_due(i);
        if (const auto peer = nodes_[i].gossip->next_pull(now_)) {
            pull(i, std::stoul(peer->str()));
        }
        at(i, revision_gossip::tick_interval, [this, i] { tick(i); });
    }

    void call_if_due(std::size_t i)
    {
        auto& n = nodes_[i];
        if (n.calling) {
            return;
        }
        const auto next = n.gossip->next_call(now_);
        if (!next) {
            n.must_read = true;
            return;
        }
        if (*next > now_) {
            at(i, std::min<std::chrono::nanoseconds>(*next - now_, revision_gossip::tick_interval),
               [this, i] { call_if_due(i); });
            return;
        }
        call(i);
    }

    void call(std::size_t i)
    {
        auto& n = nodes_[i];
        n.calling = true;
        ++calls_;
        ++calls_by_second_[now_.time_since_epoch() / std::chrono::seconds(1)];
        if (!store_up_ || n.rejected) {
            at(i, std::chrono::milliseconds(4), [this, i] { call_failed(i); });
            return;
        }
        if (std::exchange(n.must_read, false)) {
            ++reads_;
            at(i, std::chrono::milliseconds(4), [this, i] { answered(i, store_version_); });
            return;
        }
        const waiting_watch watch{i, n.incarnation, n.version, ++last_watch_};
        const auto wait = draw(1500, 3000);
        n.gossip->watch_started(wait, now_);
        if (store_version_ > n.version) {
            answer(watch);
            return;
        }
        waiting_.push_back(watch);
        at(i, wait, [this, number = watch.number] {
            const auto it = std::ranges::find(waiting_, number, &waiting_watch::number);
            if (it != waiting_.end()) {
                const auto due = *it;
                waiting_.erase(it);
                answer(due);
            }
        });
    }

    void answer(const waiting_watch& watch)
    {
        const auto& n = nodes_[watch.node];
        if (n.alive && n.incarnation == watch.incarnation) {
            at(watch.node, std::chrono::milliseconds(4),
               [this, watch, v = store_version_] { watch_answered(watch, v); });
        }
    }

    void call_failed(std::size_t i)
    {
        nodes_[i].gossip->call_failed(now_);
        nodes_[i].must_read = true;
        end_call(i);
    }

    void watch_answered(const waiting_watch& watch, const published_version& version)
    {
        if (version.era == watch.after.era) {
            answered(watch.node, version);
            return;
        }
        auto& n = nodes_[watch.node];
        n.must_read = version.era > n.version.era;
        n.gossip->call_answered(now_);
        end_call(watch.node);
    }

    void answered(std::size_t i, const published_version& version)
    {
        nodes_[i].gossip->call_answered(now_);
        apply_version(i, version, true);
        end_call(i);
    }

    void end_call(std::size_t i)
    {
        nodes_[i].calling = false;
        call_if_due(i);
    }

    options options_;
    std::mt19937_64 random_;
    gossip_members members_;
    std::vector<node> nodes_;
    std::priority_queue<event> events_;
    std::vector<waiting_watch> waiting_;
    std::map<std::int64_t, std::uint64_t> calls_by_second_;
    mono_time now_{std::chrono::hours(1)};
    std::uint64_t last_order_ = 0;
    std::uint64_t last_incarnation_ = 0;
    std::uint64_t last_watch_ = 0;
    published_version store_version_{1, 1};
    std::uint64_t reads_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t messages_ = 0;
    bool store_up_ = true;
};

} // namespace trefoil
