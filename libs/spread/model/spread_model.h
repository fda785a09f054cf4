#pragma once

#include "spread/spread_state.h"

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
    /// Share of requests and of answers that are lost, each on its own.
    double loss = 0.0;
    /// One-way delay between nodes, drawn evenly.
    std::chrono::nanoseconds shortest_delay = std::chrono::milliseconds(1);
    std::chrono::nanoseconds longest_delay = std::chrono::milliseconds(50);
    std::chrono::nanoseconds call_timeout = std::chrono::seconds(1);
    std::chrono::nanoseconds platform_delay = std::chrono::milliseconds(5);
    std::chrono::nanoseconds watch_wait = std::chrono::seconds(2);
    spread_options spread;
};

enum class platform_condition { up, down };

/// A fleet of nodes and a platform under a virtual clock. Each node decides by spread_state; the
/// model only carries messages, calls and faults.
class spread_model {
public:
    explicit spread_model(model_options options);

    void run_for(std::chrono::nanoseconds duration);
    mono_time now() const noexcept { return now_; }

    /// Makes the platform serve this version; a lower one than before makes it stale.
    void publish_config(std::uint64_t version);
    void set_platform(platform_condition condition);
    /// Only chosen watchers reach the platform.
    void hide_platform_from_others(bool hidden) { hidden_from_others_ = hidden; }
    /// Nodes with different numbers cannot reach each other; the platform is in part 0.
    void partition(const std::function<std::size_t(std::size_t node)>& part_of);
    void heal();
    /// A paused node handles nothing until it resumes; then it handles all that arrived.
    void pause(std::size_t node);
    void resume(std::size_t node);
    /// The node loses all its state.
    void restart(std::size_t node);

    /// Counts the bytes of each message from now on, which costs more than the rest of the model.
    void count_bytes(bool counted) { counts_bytes_ = counted; }

    std::size_t size() const noexcept { return nodes_.size(); }
    config_version config_of(std::size_t node) const;
    /// Nodes that do not have exactly this version in force.
    std::size_t count_without(std::uint64_t version) const;

    /// A node took a version into force that is lower than one it had before, restarts included.
    bool has_reverted() const noexcept { return has_reverted_; }
    /// A node believed in platform contact that is more recent than any real one.
    bool has_false_contact() const noexcept { return has_false_contact_; }
    /// Nodes that now think of the platform as silent for this long.
    std::size_t count_silent(std::chrono::nanoseconds time);

    /// Platform calls in each second since the start.
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
        std::unique_ptr<spread_state> state;
        /// Events of an earlier life are dropped.
        std::uint64_t life = 0;
        bool is_paused = false;
        std::vector<action> held;
        std::size_t part = 0;
        std::size_t calls_running = 0;
        bool round_failed = false;
        bool next_is_list = true;
        config_version highest_ever;
    };

    struct platform_watch {
        std::size_t node = 0;
        std::uint64_t life = 0;
        bool is_list = false;
        std::uint64_t after = 0;
        bool is_done = false;
    };

    void schedule(std::chrono::nanoseconds delay, action run);
    /// Runs at the node unless it has restarted by then; waits while it is paused.
    void schedule_at(std::size_t node, std::chrono::nanoseconds delay, action run);
    std::chrono::nanoseconds draw_delay();
    /// Sends one message; nothing happens if it is lost.
    void send(std::size_t from, std::size_t to, const exchange_message* content, action arrive);

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
    bool hidden_from_others_ = false;
    mono_time last_real_contact_{};
    std::vector<std::uint64_t> platform_calls_;
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
    bool counts_bytes_ = false;
    bool has_reverted_ = false;
    bool has_false_contact_ = false;
};

} // namespace trefoil
