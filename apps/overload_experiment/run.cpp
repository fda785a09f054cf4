#include "run.h"

#include "callers.h"
#include "metrics.h"

#include <algorithm>
#include <cmath>

namespace trefoil::experiment {

using namespace std::chrono_literals;

namespace {

/// Event loop, targets and callers of one simulated run.
struct simulation {
    event_loop loop;
    std::mt19937_64 random;
    model_constants constants;
    std::vector<std::unique_ptr<target_node>> targets;
    callers clients;

    simulation(const topology& model, double real_slots, const std::string& control,
               std::uint64_t seed)
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
            t->set_target_lookup([this](std::size_t i) -> target_node& { return *targets[i]; });
        }
    }
};

} // namespace

double measure_capacity(const topology& model, double real_slots, std::uint64_t seed)
{
    constexpr auto warm_up = 2s;
    constexpr auto duration = 10s;
    double best = 0.0;
    const auto slots = model.services[model.bottleneck].slots * real_slots;
    for (const double clients_per_slot : {1.0, 1.5, 2.0, 3.0, 4.0}) {
        simulation sim(model, real_slots, "off", seed);
        const auto begin = sim.loop.now() + warm_up;
        for (int i = 0; i < static_cast<int>(clients_per_slot * slots); ++i) {
            sim.clients.start_closed_loop(begin + duration);
        }
        sim.loop.run_until(begin + duration);
        const auto work =
            completed_bottleneck_work(model, sim.clients.records(), begin, begin + duration);
        best = std::max(best, work / std::chrono::duration<double>(duration).count());
    }
    return best;
}

run_metrics run_scenario(const topology& model, const scenario& s, const std::string& control,
                         double capacity, std::uint64_t seed)
{
    simulation sim(model, s.real_slots, control, seed);
    const auto start = sim.loop.now();
    const auto trigger_start = start + s.baseline;
    const auto trigger_end = trigger_start + s.trigger;
    const auto run_end = trigger_end + s.recovery;
    const auto offer = [&](const std::vector<double>& rate, mono_time end) {
        for (std::size_t k = 0; k < model.kinds.size(); ++k) {
            sim.clients.start_open_loop(k, rate[k], end);
        }
    };
    auto& bottleneck = *sim.targets[model.bottleneck];
    run_metrics f;
    offer(s.baseline_rate, trigger_start);
    sim.loop.run_until(trigger_start);
    bottleneck.set_work_factor(s.work_factor);
    offer(s.trigger_rate, trigger_end);
    sim.loop.run_until(trigger_end);
    f.limit = bottleneck.controller() ? bottleneck.controller()->limit(sim.loop.now()) : 0;
    bottleneck.set_work_factor(1.0);
    offer(s.baseline_rate, run_end);
    // All requests end within the deadline of 2 s.
    sim.loop.run_until(run_end + 2s + 1ms);

    f.topology = model.name;
    f.scenario = s.name;
    f.control = control;
    const auto& records = sim.clients.records();
    const double seconds = std::chrono::duration<double>(s.trigger - 1s).count();
    f.goodput = completed_bottleneck_work(model, records, trigger_start + 1s, trigger_end) /
                seconds / capacity;
    f.recovery = recovery_time(records, trigger_end, run_end);
    add_service_metrics(model, s, records, trigger_start, trigger_end, capacity, f);
    std::chrono::nanoseconds total{0};
    for (const auto& t : sim.targets) {
        total += t->total_work();
    }
    f.wasted_work = 1.0 - std::chrono::duration<double>(sim.clients.useful_work()) /
                              std::chrono::duration<double>(total);
    const auto passing = std::ranges::count_if(
        records, [&](const auto& r) { return model.bottleneck_work(r.kind).count() > 0; });
    f.bottleneck_attempts = static_cast<double>(bottleneck.received()) /
                            static_cast<double>(std::max<std::int64_t>(1, passing));
    return f;
}

} // namespace trefoil::experiment
