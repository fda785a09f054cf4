#include "run.h"

#include "callers.h"
#include "figures.h"

#include <algorithm>
#include <cmath>

namespace trefoil::experiment {

using namespace std::chrono_literals;

namespace {

/// The targets and callers of one run.
struct world {
    event_loop loop;
    std::mt19937_64 random;
    model_constants constants;
    std::vector<std::unique_ptr<target_node>> targets;
    callers clients;

    world(const topology& model, double real_slots, const std::string& control, std::uint64_t seed)
        : random(seed), clients(loop, random, model, constants, targets, control != "off")
    {
        const auto objects = model.objects();
        for (std::size_t i = 0; i < model.services.size(); ++i) {
            const auto& s = model.services[i];
            const double factor = i == model.bottleneck ? real_slots : 1.0;
            const auto slots = static_cast<std::uint32_t>(std::lround(s.slots * factor));
            std::unique_ptr<any_controller> controller;
            if (control != "off") {
                controller = make_controller(control, make_admission_policy(objects, s.name), seed);
            }
            targets.push_back(std::make_unique<target_node>(
                loop, random, model, constants, target_node::options{i, slots, s.connections},
                std::move(controller)));
        }
        for (auto& t : targets) {
            t->set_route([this](std::size_t i) -> target_node& { return *targets[i]; });
        }
    }
};

} // namespace

double measure_capacity(const topology& model, double real_slots, std::uint64_t seed)
{
    constexpr auto warm_up = 2s;
    constexpr auto length = 10s;
    double best = 0.0;
    const auto slots = model.services[model.bottleneck].slots * real_slots;
    for (const double clients : {1.0, 1.5, 2.0, 3.0, 4.0}) {
        world w(model, real_slots, "off", seed);
        const auto begin = w.loop.now() + warm_up;
        for (int i = 0; i < static_cast<int>(clients * slots); ++i) {
            w.clients.closed_loop(begin + length);
        }
        w.loop.run_until(begin + length);
        const auto work =
            completed_bottleneck_work(model, w.clients.records(), begin, begin + length);
        best = std::max(best, work / std::chrono::duration<double>(length).count());
    }
    return best;
}

run_figures run_scenario(const topology& model, const scenario& s, const std::string& control,
                         double capacity, std::uint64_t seed)
{
    world w(model, s.real_slots, control, seed);
    const auto start = w.loop.now();
    const auto trigger = start + s.calm;
    const auto over = trigger + s.trigger;
    const auto stop = over + s.after;
    const auto offer = [&](const std::vector<double>& rate, mono_time end) {
        for (std::size_t k = 0; k < model.kinds.size(); ++k) {
            w.clients.open_loop(k, rate[k], end);
        }
    };
    auto& bottleneck = *w.targets[model.bottleneck];
    run_figures f;
    offer(s.calm_rate, trigger);
    w.loop.run_until(trigger);
    bottleneck.set_slowness(s.slowness);
    offer(s.trigger_rate, over);
    w.loop.run_until(over);
    f.limit = bottleneck.controller() ? bottleneck.controller()->limit(w.loop.now()) : 0;
    bottleneck.set_slowness(1.0);
    offer(s.calm_rate, stop);
    // Two more seconds let every request end.
    w.loop.run_until(stop + 2s + 1ms);

    f.topology = model.name;
    f.scenario = s.name;
    f.control = control;
    const auto& records = w.clients.records();
    const double seconds = std::chrono::duration<double>(s.trigger - 1s).count();
    f.goodput = completed_bottleneck_work(model, records, trigger + 1s, over) / seconds / capacity;
    f.recovery = recovery_time(records, over, stop);
    add_service_figures(model, s, records, trigger, over, capacity, f);
    std::chrono::nanoseconds total{0};
    for (const auto& t : w.targets) {
        total += t->total_work();
    }
    f.wasted_work = 1.0 - std::chrono::duration<double>(w.clients.useful_work()) /
                              std::chrono::duration<double>(total);
    const auto passing = std::ranges::count_if(
        records, [&](const auto& r) { return model.bottleneck_work(r.kind).count() > 0; });
    f.deepest_attempts = static_cast<double>(bottleneck.received()) /
                         static_cast<double>(std::max<std::int64_t>(1, passing));
    return f;
}

} // namespace trefoil::experiment
