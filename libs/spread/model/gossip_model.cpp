#include "gossip_model.h"

#include <algorithm>
#include <string>
#include <utility>

namespace trefoil {

namespace {

using std::chrono::nanoseconds;

content_digest digest_of_version(std::uint64_t version)
{
    return digest_of("text of version " + std::to_string(version));
}

constexpr std::size_t seed_peers = 3;

} // namespace

gossip_model::gossip_model(model_options options)
    : options_(options), random_(options_.seed), nodes_(options_.nodes)
{
    gossip_members members;
    for (std::size_t i = 0; i < options_.nodes; ++i) {
        members.push_back({vm_name("vm-" + std::to_string(i)),
                           availability_zone_name("zone-" + std::to_string(i % options_.zones))});
    }
    members_ = std::make_shared<const gossip_members>(std::move(members));
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        start(i);
    }
}

void gossip_model::start(std::size_t node)
{
    auto& self = nodes_[node];
    ++self.incarnation;
    self.state = std::make_unique<gossip_state>((*members_)[node], now_, options_.gossip);
    self.calls_running = 0;
    self.next_is_list = true;
    self.deferred.clear();
    gossip_members seeds;
    for (std::size_t i = 1; i <= seed_peers; ++i) {
        seeds.push_back((*members_)[(node + i) % members_->size()]);
    }
    self.state->set_seeds(std::make_shared<const gossip_members>(std::move(seeds)));
    // Pulls start at random times within a second, since real nodes do not start simultaneously.
    const auto phase = nanoseconds(std::uniform_int_distribution<std::int64_t>(
        0, std::chrono::nanoseconds(std::chrono::seconds(1)).count())(random_));
    schedule_at(node, phase, [this, node] { pull(node); });
    check_round(node);
}

void gossip_model::run_for(nanoseconds duration)
{
    const auto end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
        const auto run = events_.top().run;
        now_ = events_.top().at;
        events_.pop();
        run();
    }
    now_ = end;
}

void gossip_model::schedule(nanoseconds delay, action run)
{
    events_.push({now_ + delay, next_order_++, std::move(run)});
}

void gossip_model::schedule_at(std::size_t node, nanoseconds delay, action run)
{
    schedule(delay, [this, node, incarnation = nodes_[node].incarnation, run = std::move(run)] {
        auto& self = nodes_[node];
        if (self.incarnation != incarnation) {
            return;
        }
        if (self.is_paused) {
            self.deferred.push_back(run);
            return;
        }
        run();
    });
}

nanoseconds gossip_model::draw_delay()
{
    return nanoseconds(std::uniform_int_distribution<std::int64_t>(
        options_.min_delay.count(), options_.max_delay.count())(random_));
}

void gossip_model::send(std::size_t from, std::size_t to, const exchange_message* content,
                        action on_arrival)
{
    ++messages_;
    if (counts_bytes_ && content != nullptr) {
        bytes_ += to_json(*content).size();
    }
    const bool lost = std::uniform_real_distribution<double>()(random_) < options_.loss;
    if (lost || nodes_[from].part != nodes_[to].part) {
        return;
    }
    schedule_at(to, draw_delay(), std::move(on_arrival));
}

void gossip_model::pull(std::size_t node)
{
    auto& state = *nodes_[node].state;
    for (const auto& name : state.pull_targets(random_)) {
        exchange(node, std::stoul(name.str().substr(3)));
    }
    check_round(node);
    const auto age = state.watcher().contact_age(now_);
    if (age && now_ - *age > last_real_contact_) {
        has_false_contact_ = true;
    }
    schedule_at(node, state.pull_interval(now_), [this, node] { pull(node); });
}

void gossip_model::push_if_due(std::size_t node)
{
    for (const auto& name : nodes_[node].state->take_push_targets(random_)) {
        exchange(node, std::stoul(name.str().substr(3)));
    }
}

void gossip_model::exchange(std::size_t from, std::size_t to)
{
    exchange_message request;
    request.header.cluster = "model";
    request.header.from = (*members_)[from].name;
    nodes_[from].state->fill_versions(request, now_);
    const auto sent = now_;
    const auto incarnation = nodes_[from].incarnation;
    send(from, to, &request, [this, from, to, request, sent, incarnation] {
        auto& receiver = *nodes_[to].state;
        const auto wanted = receiver.request_received(request, now_);
        exchange_message result;
        result.header = request.header;
        result.header.from = (*members_)[to].name;
        receiver.fill_versions(result, now_);
        if (nodes_[from].incarnation == incarnation) {
            send(to, from, &result, [this, from, to, result, sent] {
                if (now_ - sent <= options_.call_timeout) {
                    fetch(from, to, nodes_[from].state->result_received(result, sent, now_));
                }
            });
        }
        fetch(to, from, wanted);
    });
}

void gossip_model::fetch(std::size_t from, std::size_t to, fetch_plan plan)
{
    const auto incarnation = nodes_[from].incarnation;
    const auto fetch_one = [&](bool is_list) {
        send(from, to, nullptr, [this, from, to, is_list, incarnation] {
            const auto& holder = *nodes_[to].state;
            const auto version =
                is_list ? holder.list().in_force().value : holder.config().in_force().value;
            if (nodes_[from].incarnation == incarnation) {
                send(to, from, nullptr, [this, from, is_list, version] {
                    offer(from, is_list, version, version_source::peer);
                });
            }
        });
    };
    if (plan.config) {
        fetch_one(false);
    }
    if (plan.list) {
        fetch_one(true);
    }
}

void gossip_model::offer(std::size_t node, bool is_list, std::uint64_t version,
                         version_source source)
{
    auto& self = nodes_[node];
    const auto digest = digest_of_version(version);
    if (is_list) {
        const auto result = self.state->offer_list({version}, digest, digest, source, now_);
        if (result == version_result::accepted || result == version_result::waiting) {
            self.state->set_members(members_);
        }
    }
    else if (self.state->offer_config({version}, digest, digest, source, now_) ==
             version_result::accepted) {
        const auto in_force = self.state->config().in_force();
        has_reverted_ = has_reverted_ || in_force < self.highest_ever;
        self.highest_ever = std::max(self.highest_ever, in_force);
    }
    push_if_due(node);
}

void gossip_model::check_round(std::size_t node)
{
    auto& self = nodes_[node];
    if (self.calls_running != 0) {
        return;
    }
    const auto round = self.state->watcher().next_round(now_, random_);
    if (!round) {
        return;
    }
    if (round->at > now_) {
        // Later rounds are scheduled by the check that follows each pull.
        if (round->at - now_ < std::chrono::seconds(1)) {
            schedule_at(node, round->at - now_, [this, node] { check_round(node); });
        }
        return;
    }
    self.round_failed = false;
    self.calls_running = round->both ? 2 : 1;
    if (round->both) {
        call_platform(node, true);
        call_platform(node, false);
        return;
    }
    call_platform(node, std::exchange(self.next_is_list, !self.next_is_list));
}

bool gossip_model::reaches_platform(std::size_t node)
{
    const bool is_hidden = restricted_to_watchers_ && !nodes_[node].state->watcher().is_chosen();
    return nodes_[node].part == 0 && !is_hidden;
}

void gossip_model::call_platform(std::size_t node, bool is_list)
{
    if (!reaches_platform(node)) {
        schedule_at(node, options_.call_timeout,
                    [this, node, is_list] { end_call(node, is_list, false, 0); });
        return;
    }
    const auto second = static_cast<std::size_t>(now_.time_since_epoch() / std::chrono::seconds(1));
    platform_calls_.resize(std::max(platform_calls_.size(), second + 1));
    ++platform_calls_[second];
    const bool lost = std::uniform_real_distribution<double>()(random_) < options_.loss;
    if (lost || platform_ == platform_condition::down) {
        const auto after =
            lost ? options_.watch_wait + options_.call_timeout : options_.platform_delay;
        schedule_at(node, after, [this, node, is_list] { end_call(node, is_list, false, 0); });
        return;
    }
    const auto& state = *nodes_[node].state;
    auto watch = std::make_shared<platform_watch>();
    watch->node = node;
    watch->incarnation = nodes_[node].incarnation;
    watch->is_list = is_list;
    watch->after = is_list ? state.list().watch_after().value : state.config().watch_after().value;
    const auto published = is_list ? published_list_ : published_config_;
    if (published > watch->after) {
        answer_watch(watch);
        return;
    }
    watches_.push_back(watch);
    schedule(options_.watch_wait, [this, watch] {
        if (!watch->is_done) {
            std::erase(watches_, watch);
            answer_watch(watch);
        }
    });
}

void gossip_model::answer_watch(const std::shared_ptr<platform_watch>& watch)
{
    watch->is_done = true;
    last_real_contact_ = now_ + options_.platform_delay;
    if (nodes_[watch->node].incarnation != watch->incarnation) {
        return;
    }
    const auto published = watch->is_list ? published_list_ : published_config_;
    const auto version = published > watch->after ? published : 0;
    schedule_at(watch->node, options_.platform_delay,
                [this, node = watch->node, is_list = watch->is_list, version] {
                    end_call(node, is_list, true, version);
                });
}

void gossip_model::end_call(std::size_t node, bool is_list, bool answered, std::uint64_t version)
{
    auto& self = nodes_[node];
    if (answered) {
        last_real_contact_ = now_;
        self.state->watcher().call_answered(now_);
    }
    else if (!std::exchange(self.round_failed, true)) {
        self.state->watcher().call_failed(now_, random_);
    }
    --self.calls_running;
    if (version != 0) {
        offer(node, is_list, version, version_source::platform);
    }
    check_round(node);
}

void gossip_model::publish_config(std::uint64_t version)
{
    published_config_ = version;
    std::vector<std::shared_ptr<platform_watch>> due;
    std::erase_if(watches_, [&](const auto& watch) {
        const bool is_due = !watch->is_list && version > watch->after;
        if (is_due) {
            due.push_back(watch);
        }
        return is_due;
    });
    for (const auto& watch : due) {
        answer_watch(watch);
    }
}

void gossip_model::set_platform(platform_condition condition)
{
    platform_ = condition;
    if (condition == platform_condition::up) {
        return;
    }
    for (const auto& watch : std::exchange(watches_, {})) {
        watch->is_done = true;
        if (nodes_[watch->node].incarnation == watch->incarnation) {
            schedule_at(watch->node, options_.platform_delay,
                        [this, node = watch->node, is_list = watch->is_list] {
                            end_call(node, is_list, false, 0);
                        });
        }
    }
}

void gossip_model::partition(const std::function<std::size_t(std::size_t node)>& part_of)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i].part = part_of(i);
    }
}

void gossip_model::heal()
{
    partition([](std::size_t) { return std::size_t{0}; });
}

void gossip_model::pause(std::size_t node)
{
    nodes_[node].is_paused = true;
}

void gossip_model::resume(std::size_t node)
{
    nodes_[node].is_paused = false;
    for (const auto& run : std::exchange(nodes_[node].deferred, {})) {
        run();
    }
}

void gossip_model::restart(std::size_t node)
{
    nodes_[node].is_paused = false;
    start(node);
}

config_version gossip_model::config_of(std::size_t node) const
{
    return nodes_[node].state->config().in_force();
}

std::size_t gossip_model::count_without(std::uint64_t version) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        count += config_of(i) == config_version{version} ? 0 : 1;
    }
    return count;
}

std::size_t gossip_model::count_without_contact(nanoseconds time)
{
    return static_cast<std::size_t>(std::ranges::count_if(nodes_, [&](const model_node& node) {
        const auto age = node.state->watcher().contact_age(now_);
        return !age || *age >= time;
    }));
}

} // namespace trefoil
