#pragma once

#include "relay/feed_cursor.h"
#include "replica_fixture.h"
#include "spread/state_lag.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace store_return_model {

using ms = std::chrono::milliseconds;

enum step_kind : std::uint8_t {
    write_config_step,
    register_target,
    announce_leaving,
    remove_target,
    start_target_again,
    expire_entry, ///< The store removes the entry of a live target, which writes it again.
    take_copy,
    store_outage,
    store_return,
    cut_from_store,
    cut_from_peers,
    cut_from_all,
    heal,
    restart_node,
    change_callers,
    step_kinds
};

/// Kind, time before it, node or target, second parameter.
using step = std::tuple<int, int, int, int>;

struct scenario {
    std::uint64_t seed = 0;
    int nodes = 3;
    /// Some answers of the store lack the era.
    bool omits_era = false;
    std::vector<step> steps;
};

/// Start and sequence of an entry that a target wrote, in the order in which it wrote them.
using written = std::pair<std::uint64_t, std::uint64_t>;

/// Simulates a store that returns from older copies, its writers, and nodes that follow it with the
/// decision logic of the product under a virtual clock. Answers and messages are delayed and lost
/// at random.
class simulation {
public:
    explicit simulation(scenario s);

    /// Plays the steps, a period without writes and faults, and a period in which everything that
    /// is lost is written again.
    void run();

    /// Violated properties; empty if all hold.
    std::vector<std::string> violations;
    /// What happened, one line each.
    std::vector<std::string> events;
    int returns = 0;
    /// Number of times a node learned of a return from the store and from a peer.
    int learned_from_store = 0;
    int learned_from_peer = 0;
    int stale_answers = 0;

private:
    using read_result = trefoil::read_result;
    using published_changes = trefoil::published_changes;
    using published_version = trefoil::published_version;
    using mono_time = trefoil::mono_time;

    struct store_state {
        std::map<std::string, trefoil::published_item> items;
        std::vector<trefoil::published_item> history;
        std::uint64_t revision = 0;
    };
    struct open_watch {
        std::uint64_t after = 0;
        std::function<void(read_result)> answer;
        std::function<void()> cut;
    };
    struct target {
        std::uint64_t start = 0;
        std::uint64_t sequence = 0;
        bool alive = false;
        bool leaving = false;
        /// What it says of itself is not in the store.
        bool is_write_due = false;
    };
    /// What was observed at one node, for the properties.
    struct observations {
        published_version version;
        trefoil::config_version config;
        /// Last entry that was in use.
        std::map<std::string, written> used;
        /// Last entry with which a target was leaving or gone.
        std::map<std::string, written> departed;
        /// Last entry with which the store removed a target that may still be kept.
        std::map<std::string, written> removed;
        /// Missing targets whose run with this start is to be kept until this time.
        std::map<std::string, std::pair<std::uint64_t, mono_time>> keep_until;
        /// Latest time until which missing targets may be kept.
        mono_time may_keep_until;
        /// Complete reads by era that no failed call and no start of the calls explains.
        std::map<std::uint64_t, int> reads;
        bool is_read_explained = true;
    };
    struct node {
        trefoil::plain_node view;
        std::unique_ptr<trefoil::plain_replica> replica;
        trefoil::feed_cursor cursor;
        trefoil::state_lag lag;
        bool chosen = false;
        bool calling = false;
        bool busy = false;
        bool feed_available = false;
        bool available = true;
        bool may_miss_expiry = false;
        int failures = 0;
        mono_time next_call;
        mono_time next_pull;
        mono_time next_full_request;
        mono_time next_era_request;
        std::optional<mono_time> last_contact;
        std::optional<mono_time> open_watch_until;
        observations seen;
    };
    struct queued {
        mono_time at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const queued& o) const
        {
            return std::tie(at, order) > std::tie(o.at, o.order);
        }
    };
    /// What every message between nodes states.
    struct stated {
        published_version version;
        std::optional<ms> contact_age;
    };
    enum class source : std::uint8_t { store, peer };

    // Clock and chance.
    int draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }
    bool chance(int percent) { return draw(1, 100) <= percent; }
    ms delay();
    void after(ms wait, std::function<void()> action);
    void run_until(mono_time end);
    void log(const std::string& text);
    bool is_calm() const { return phase_ != phase::faults; }

    // Store and its writers.
    void play(const step& s);
    void write(const std::string& key, const std::string& value);
    void erase(const std::string& key);
    void publish(int t);
    void depart(int t);
    void start_target(int t, const char* what);
    void write_config(std::uint64_t version);
    void write_config_again();
    /// The writers and the store set right what differs from what they last said.
    void write_lost_again();
    void begin_outage(bool loses, int which_copy);
    void end_outage(bool loses, int which_copy);
    void return_from_copy(int which);
    std::uint64_t stored_config() const;
    static std::string value_of(const target& t);
    void answer_watches();
    read_result answer();
    read_result page(const std::string& after, bool is_whole);
    read_result changes(std::uint64_t after);
    bool has_entry(int t) const;
    static std::string key_of(int t) { return "t/" + id_of(t); }
    static std::string id_of(int t) { return std::string(1, static_cast<char>('a' + t)); }

    // Nodes.
    node& at_node(int n) { return *nodes_[static_cast<std::size_t>(n)]; }
    const node& at_node(int n) const { return *nodes_[static_cast<std::size_t>(n)]; }
    void start_node(int n);
    /// Runs an action at a node unless it has been started again since.
    std::function<void()> bound(int n, std::function<void(node&)> action);
    void tick(int n);
    void sweep(int n);
    void wake(int n);
    void set_calling(node& self, bool calling);
    void call(int n, const std::function<read_result()>& make,
              const std::function<void(read_result)>& done);
    void deliver(int n, read_result result, const std::function<void(read_result)>& done);
    void fail(int n, ms wait, const std::function<void(read_result)>& done);
    void read_page(int n, const std::string& key, bool is_whole);
    void on_page(int n, const read_result& result, bool is_whole);
    void watch(int n);
    void on_watch(int n, const read_result& result);
    void on_answer(int n);
    void on_failure(int n, const read_result& result);
    void record_failure(int n);
    /// Applies what `change` does to the replica, as relay_service does, and tells the peers.
    trefoil::state_update apply(int n, source from, mono_time keep_until,
                                const std::function<trefoil::state_update(node&)>& change);
    void push(int n, const trefoil::state_update& update);
    void keep(int n, mono_time until);
    void update_availability(int n);
    std::optional<ms> contact_age(node& self) const;

    // Messages between nodes.
    bool is_cut(int a, int b) const
    {
        return a == b || peers_cut_.contains({std::min(a, b), std::max(a, b)});
    }
    void send(int from, int to, const std::function<void()>& action);
    stated statement(int n);
    bool hear(int n, const stated& s);
    void request_state(int from, int to, trefoil::state_need need = trefoil::state_need::changes);
    void send_state(int from, int to, published_changes changes);
    void receive(int n, int from, const stated& s, const published_changes& changes);
    void report(int from, int to);

    // Properties.
    /// Whether the store has acknowledged a later entry of the target as ready.
    bool has_written_since(const std::string& id, const written& mark) const;
    void violate(int n, const std::string& text);
    void observe(int n);
    void note_update(int n, const trefoil::state_update& update,
                     const std::set<std::string>& ready_before, mono_time keep_until);
    void observe_target(int n, const std::string& id, const std::set<std::string>& known);
    std::set<std::string> ready_targets(int n) const;
    std::set<std::string> known_keys(int n) const;
    void check_settled(const std::vector<trefoil::config_version>& configs,
                       const std::vector<std::map<std::string, written>>& departed);
    void check_quiet();

    static constexpr int target_count = 5;

    scenario scenario_;
    std::mt19937_64 random_;
    mono_time now_{std::chrono::hours(1)};
    std::uint64_t order_ = 0;
    std::priority_queue<queued> queue_;
    enum class phase : std::uint8_t { faults, settling, quiet };
    phase phase_ = phase::faults;

    store_state store_;
    std::vector<store_state> copies_;
    std::uint64_t era_ = 1;
    bool is_up_ = true;
    std::uint64_t outages_ = 0;
    std::uint64_t next_watch_ = 0;
    std::map<std::uint64_t, open_watch> watches_;
    std::vector<target> targets_{target_count};
    /// Last entry of each target that the store has acknowledged as ready.
    std::map<std::string, written> last_ready_;
    /// Newest version that the store has acknowledged.
    std::uint64_t config_ = 0;
    std::set<std::uint64_t> acknowledged_configs_;
    /// Written while the store is down.
    std::uint64_t pending_config_ = 0;

    std::vector<std::shared_ptr<node>> nodes_;
    std::set<int> store_cut_;
    std::set<std::pair<int, int>> peers_cut_;
};

} // namespace store_return_model
