#pragma once

#include "spread/gossip_state.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

namespace trefoil {

struct model_options {
    std::size_t nodes = 24;
    std::size_t zones = 3;
    std::uint64_t seed = 1;
    /// Probability with which each request and each answer is lost, independently of the other.
    double loss = 0.0;
    /// One-way delay between nodes, drawn uniformly from min_delay to max_delay.
    std::chrono::nanoseconds min_delay = std::chrono::milliseconds(1);
    std::chrono::nanoseconds max_delay = std::chrono::milliseconds(50);
    std::chrono::nanoseconds call_timeout = std::chrono::seconds(1);
    std::chrono::nanoseconds platform_delay = std::chrono::milliseconds(5);
    std::chrono::nanoseconds watch_wait = std::chrono::seconds(2);
    gossip_options gossip;
};

enum class platform_condition { up, down };

/// Simulates a fleet of nodes and a platform with a virtual clock. The decisions of each node are
/// those of gossip_state; the model only delivers messages and calls and injects faults.
class gossip_model {
public:
    explicit gossip_model(model_options options);

    void run_for(std::chrono::nanoseconds duration);
    mono_time now() const noexcept { return now_; }

    /// Makes the platform serve this version. A version lower than before simulates a stale
    /// platform.
    void publish_config(std::uint64_t version);
    void set_platform(platform_condition condition);
    /// Lets only chosen watchers reach the platform.
    void restrict_platform_to_watchers(bool hidden) { restricted_to_watchers_ = hidden; }
    /// Partitions the network. Nodes with different numbers cannot reach each other; the platform
    /// is in part 0.
    void partition(const std::function<std::size_t(std::size_t node)>& part_of);
    void heal();
    /// A paused node processes no events until it resumes; then it processes all pending ones.
    void pause(std::size_t node);
    void resume(std::size_t node);
    /// Restarts the node, which discards all its state.
    void restart(std::size_t node);

    /// Enables counting of message bytes. Off by default, since serializing each message takes more
    /// time than the rest of the model.
    void count_bytes(bool counted) { counts_bytes_ = counted; }

    std::size_t size() const noexcept { return nodes_.size(); }
    config_version config_of(std::size_t node) const;
    /// Number of nodes whose configuration in force is not exactly this version.
    std::size_t count_without(std::uint64_t version) const;

    /// Whether a node accepted a version lower than one it had in force before, also before a
    /// restart.
    bool has_reverted() const noexcept { return has_reverted_; }
    /// Whether a node assumed a platform contact more recent than any real one.
    bool has_false_contact() const noexcept { return has_false_contact_; }
    /// Number of nodes that know of no platform contact within this time.
    std::size_t count_without_contact(std::chrono::nanoseconds time);

    /// Number of platform calls in each second since the start.
    const std::vector<std::uint64_t>& platform_calls() const noexcept { return platform_calls_; }
    std::uint64_t messages() const noexcept { return messages_; }
    std::uint64_t bytes() const noexcept { return bytes_; }

private:
    using action = std::function<void()>;

    struct event {
        mono_time at;
        std::uint64_t order = 0;
        action run;

        friend bool operator<(const event& a, const event& b)
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    struct model_node {
        std::unique_ptr<gossip_state> state;
        /// Number of starts. Events scheduled by an earlier incarnation are dropped.
        std::uint64_t incarnation = 0;
        bool is_paused = false;
        /// Events that arrived during a pause.
        std::vector<action> deferred;
        std::size_t part = 0;
        std::size_t calls_running = 0;
        bool round_failed = false;
        bool next_is_list = true;
        config_version highest_ever;
    };

    struct platform_watch {
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        bool is_list = false;
        std::uint64_t after = 0;
        bool is_done = false;
    };

    void schedule(std::chrono::nanoseconds delay, action run);
    /// Schedules an action of the node. It is dropped if the node restarts and deferred while the
    /// node is paused.
    void schedule_at(std::size_t node, std::chrono::nanoseconds delay, action run);
    std::chrono::nanoseconds draw_delay();
    /// Sends one message and runs `on_arrival` at the receiver unless the message is lost.
    /// `content` is only used to count bytes and may be null.
    void send(std::size_t from, std::size_t to, const exchange_message* content, action on_arrival);

    void start(std::size_t node);
    void pull(std::size_t node);
    void push_if_due(std::size_t node);
    void exchange(std::size_t from, std::size_t to);
    void fetch(std::size_t from, std::size_t to, fetch_plan plan);
    void offer(std::size_t node, bool is_list, std::uint64_t version, version_source source);

    void check_round(std::size_t node);
    void call_platform(std::size_t node, bool is_list);
    void answer_watch(const std::shared_ptr<platform_watch>& watch);
    void end_call(std::size_t node, bool is_list, bool answered, std::uint64_t version);
    bool reaches_platform(std::size_t node);

    model_options options_;
    random_source random_;
    shared_members members_;
    std::vector<model_node> nodes_;
    std::priority_queue<event> events_;
    std::uint64_t next_order_ = 0;
    mono_time now_{};
    std::vector<std::shared_ptr<platform_watch>> watches_;
    std::uint64_t published_config_ = 1;
    std::uint64_t published_list_ = 1;
    platform_condition platform_ = platform_condition::up;
    bool restricted_to_watchers_ = false;
    mono_time last_real_contact_{};
    std::vector<std::uint64_t> platform_calls_;
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
    bool counts_bytes_ = false;
    bool has_reverted_ = false;
    bool has_false_contact_ = false;
};

} // namespace trefoil
