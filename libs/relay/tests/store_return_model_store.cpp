#include "store_return_model.h"

#include <algorithm>

namespace store_return_model {

using namespace trefoil;

void simulation::begin_outage(bool loses, int which_copy)
{
    if (!is_up_) {
        return;
    }
    log(loses ? "store is down and will return from a copy" : "store is down");
    is_up_ = false;
    for (auto& [number, watch] : std::exchange(watches_, {})) {
        watch.cut();
    }
    after(ms(draw(1, 3000)), [this, loses, which_copy] { end_outage(loses, which_copy); });
}

void simulation::end_outage(bool loses, int which_copy)
{
    is_up_ = true;
    if (loses) {
        return_from_copy(which_copy);
    }
    else {
        log("store is up");
        for (int t = 0; t < target_count; ++t) {
            if (has_entry(t) && chance(30)) {
                log("entry of " + id_of(t) + " has expired");
                erase(key_of(t));
            }
        }
    }
    write_lost_again();
}

void simulation::return_from_copy(int which)
{
    // Mostly one of the last copies. Those that are newer lie in a history that is lost.
    const auto back = std::min(copies_.size() - 1, static_cast<std::size_t>(which % 4));
    copies_.resize(copies_.size() - back);
    store_ = copies_.back();
    ++era_;
    ++returns;
    log("store returns from copy " + std::to_string(copies_.size() - 1) + " as " +
        std::to_string(era_) + '/' + std::to_string(store_.revision));
}

void simulation::write_lost_again()
{
    const ms longest(is_calm() ? 1500 : 2000);
    for (int t = 0; t < target_count; ++t) {
        auto& own = targets_[static_cast<std::size_t>(t)];
        const auto item = store_.items.find(key_of(t));
        const bool is_stored = item != store_.items.end() && item->second.value == value_of(own);
        if (own.alive && (!is_stored || own.is_write_due)) {
            own.is_write_due = true;
            after(ms(draw(0, static_cast<int>(longest.count()))), [this, t] {
                if (targets_[static_cast<std::size_t>(t)].is_write_due) {
                    publish(t);
                }
            });
        }
        else if (!own.alive && item != store_.items.end()) {
            after(ms(draw(500, 3000)), [this, t] {
                if (!targets_[static_cast<std::size_t>(t)].alive && is_up_ && has_entry(t)) {
                    log("entry of " + id_of(t) + " is removed, since it is silent");
                    erase(key_of(t));
                }
            });
        }
    }
    if (pending_config_ > config_) {
        write_config(pending_config_);
    }
    after(ms(draw(0, is_calm() ? 1500 : 6000)), [this] { write_config_again(); });
}

void simulation::publish(int t)
{
    auto& own = targets_[static_cast<std::size_t>(t)];
    if (!own.alive) {
        return;
    }
    own.is_write_due = true;
    if (!is_up_ || phase_ == phase::settling) {
        return;
    }
    own.is_write_due = false;
    ++own.sequence;
    log(id_of(t) + " writes " + value_of(own));
    if (!own.leaving) {
        last_ready_[id_of(t)] = {own.start, own.sequence};
    }
    write(key_of(t), value_of(own));
}

void simulation::depart(int t)
{
    auto& own = targets_[static_cast<std::size_t>(t)];
    if (!own.alive) {
        return;
    }
    own.alive = false;
    log(id_of(t) + " is gone");
    if (is_up_ && phase_ != phase::settling && has_entry(t)) {
        erase(key_of(t));
    }
}

void simulation::start_target(int t, const char* what)
{
    auto& own = targets_[static_cast<std::size_t>(t)];
    log(id_of(t) + ' ' + what);
    own = {own.start + 1, 0, true, false, false};
    publish(t);
}

std::string simulation::value_of(const target& t)
{
    return std::to_string(t.start) + ' ' + std::to_string(t.sequence) +
           (t.leaving ? " leaving" : " ready");
}

void simulation::write_config(std::uint64_t version)
{
    pending_config_ = std::max(pending_config_, version);
    if (!is_up_ || phase_ == phase::settling) {
        return;
    }
    config_ = std::max(config_, version);
    acknowledged_configs_.insert(version);
    log("operator writes " + std::to_string(version));
    write("c", std::to_string(version));
}

std::uint64_t simulation::stored_config() const
{
    const auto it = store_.items.find("c");
    return it == store_.items.end() ? 0 : std::stoull(it->second.value);
}

void simulation::write_config_again()
{
    const auto stored = stored_config();
    if (!is_up_ || phase_ == phase::settling || stored >= config_) {
        return;
    }
    const auto next = *acknowledged_configs_.upper_bound(stored);
    if (next < config_ && chance(40)) {
        // The operator repeats its writes in their order.
        write_config(next);
        after(ms(draw(1, 1000)), [this] { write_config_again(); });
        return;
    }
    write_config(config_);
}

void simulation::write(const std::string& key, const std::string& value)
{
    const published_item item{key, value, ++store_.revision, false};
    store_.items[key] = item;
    store_.history.push_back(item);
    answer_watches();
}

void simulation::erase(const std::string& key)
{
    store_.items.erase(key);
    store_.history.push_back({key, {}, ++store_.revision, true});
    answer_watches();
}

void simulation::answer_watches()
{
    for (auto& [number, watch] : std::exchange(watches_, {})) {
        watch.answer(changes(watch.after));
    }
}

bool simulation::has_entry(int t) const
{
    return store_.items.contains(key_of(t));
}

read_result simulation::answer()
{
    read_result result;
    result.status = read_status::ok;
    result.revision = store_.revision;
    const bool lacks_era = scenario_.omits_era && !is_calm() && chance(4);
    if (!lacks_era) {
        result.era = era_;
    }
    return result;
}

read_result simulation::page(const std::string& after, bool is_whole)
{
    auto result = answer();
    const std::size_t most = is_whole ? store_.items.size() : store_.items.size() / 2 + 1;
    for (auto it = store_.items.upper_bound(after); it != store_.items.end(); ++it) {
        if (result.items.size() == most) {
            result.has_more = true;
            break;
        }
        result.items.push_back(it->second);
    }
    return result;
}

read_result simulation::changes(std::uint64_t after)
{
    auto result = answer();
    if (after > store_.revision) {
        result.status = read_status::history_lost;
        return result;
    }
    std::ranges::copy_if(store_.history, std::back_inserter(result.items),
                         [after](const auto& item) { return item.revision > after; });
    return result;
}

} // namespace store_return_model
