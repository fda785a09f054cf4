#include "store_return_model.h"

#include <algorithm>

namespace store_return_model {

using namespace trefoil;

namespace {

constexpr ms settling_time{7000};
constexpr ms quiet_time{12000};
constexpr ms poll_interval{100};
/// Several times the actions of the longest orders.
constexpr std::uint64_t most_actions = 200'000;

} // namespace

simulation::simulation(scenario s) : scenario_(std::move(s)), random_(scenario_.seed)
{
    for (int t = 0; t < 3; ++t) {
        start_target(t, "registers");
    }
    write_config(40);
    copies_.push_back(store_);
    for (int n = 0; n < scenario_.nodes; ++n) {
        nodes_.push_back(nullptr);
    }
    for (int n = 0; n < scenario_.nodes; ++n) {
        start_node(n);
        at_node(n).chosen = n < 2;
    }
}

void simulation::run()
{
    run_until(now_ + ms(1500));
    for (const auto& s : scenario_.steps) {
        run_until(now_ + ms(std::get<1>(s)));
        play(s);
    }
    // The end of an outage is one of the faults.
    while (!is_up_ && violations.empty()) {
        run_until(now_ + poll_interval);
    }
    phase_ = phase::settling;
    log("no more faults and writes");
    store_cut_.clear();
    peers_cut_.clear();
    std::vector<config_version> configs;
    std::vector<std::map<std::string, written>> departed;
    for (const auto& n : nodes_) {
        configs.push_back(n->view.config);
        departed.push_back(n->seen.departed);
    }
    run_until(now_ + settling_time);
    check_settled(configs, departed);
    phase_ = phase::quiet;
    log("everything is written again");
    write_lost_again();
    run_until(now_ + quiet_time);
    check_quiet();
}

void simulation::after(ms wait, std::function<void()> action)
{
    queue_.push({now_ + wait, order_++, std::move(action)});
}

void simulation::run_until(mono_time end)
{
    while (!queue_.empty() && queue_.top().at <= end) {
        if (order_ > most_actions) {
            violate(0, "and the others exchange messages without end");
            queue_ = {};
            break;
        }
        const auto next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.action();
    }
    now_ = end;
}

void simulation::log(const std::string& text)
{
    const auto since_start =
        std::chrono::duration_cast<ms>(now_ - mono_time(std::chrono::hours(1)));
    events.push_back(std::to_string(since_start.count()) + " ms: " + text);
}

ms simulation::delay()
{
    if (is_calm()) {
        return ms(draw(1, 30));
    }
    return ms(chance(8) ? draw(100, 2500) : draw(1, 40));
}

void simulation::play(const step& s)
{
    const auto kind = std::get<0>(s);
    const auto which = std::get<2>(s);
    const auto how = std::get<3>(s);
    const int n = which % scenario_.nodes;
    const int t = which % target_count;
    auto& aimed = targets_[static_cast<std::size_t>(t)];
    switch (kind) {
    case write_config_step:
        write_config(std::max(config_, pending_config_) + 1 + static_cast<std::uint64_t>(how % 7));
        break;
    case register_target:
        if (!aimed.alive) {
            start_target(t, "registers");
        }
        break;
    case announce_leaving:
        if (aimed.alive && !aimed.leaving) {
            aimed.leaving = true;
            log(id_of(t) + " announces that it leaves");
            publish(t);
            after(ms(draw(200, 3000)), [this, t, start = aimed.start] {
                if (targets_[static_cast<std::size_t>(t)].start == start) {
                    depart(t);
                }
            });
        }
        break;
    case remove_target:
        depart(t);
        break;
    case start_target_again:
        if (aimed.alive) {
            start_target(t, "starts again");
        }
        break;
    case expire_entry:
        if (aimed.alive && is_up_ && has_entry(t)) {
            log("entry of " + id_of(t) + " expires, though it lives");
            erase(key_of(t));
            aimed.is_write_due = true;
            after(ms(draw(0, 2000)), [this, t] { publish(t); });
        }
        break;
    case take_copy:
        if (is_up_) {
            copies_.push_back(store_);
            log("copy " + std::to_string(copies_.size() - 1) + " at " +
                std::to_string(store_.revision));
        }
        break;
    case store_outage:
    case store_return:
        begin_outage(kind == store_return, how);
        break;
    case cut_from_store:
    case cut_from_peers:
    case cut_from_all:
        log("node " + std::to_string(n) + " is cut from " +
            (kind == cut_from_store   ? "the store"
             : kind == cut_from_peers ? "peers"
                                      : "all"));
        if (kind != cut_from_peers) {
            store_cut_.insert(n);
        }
        for (int other = 0; kind != cut_from_store && other < scenario_.nodes; ++other) {
            if (other != n && (how % 3 != 0 || other == (n + 1) % scenario_.nodes)) {
                peers_cut_.insert({std::min(n, other), std::max(n, other)});
            }
        }
        break;
    case heal:
        log("cuts heal");
        store_cut_.clear();
        peers_cut_.clear();
        break;
    case restart_node: {
        log("node " + std::to_string(n) + " starts again");
        const bool chosen = at_node(n).chosen;
        start_node(n);
        at_node(n).chosen = chosen;
        break;
    }
    case change_callers:
        at_node(n).chosen = !at_node(n).chosen;
        log("node " + std::to_string(n) + (at_node(n).chosen ? " calls" : " doesn't call"));
        break;
    default:
        break;
    }
}

} // namespace store_return_model
