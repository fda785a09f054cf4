#include "any_controller.h"
#include "performance_targets.h"
#include "report.h"
#include "run.h"

#include <getopt.h>

#include <array>
#include <exception>
#include <iostream>
#include <map>
#include <string>

namespace {

constexpr const char* usage =
    "Usage: overload_experiment [OPTION]...\n"
    "Compares admission control with no control in a small queueing model.\n"
    "\n"
    "  --json           print JSON instead of a table\n"
    "  --topology=NAME  run only one-target or three-services\n"
    "  --scenario=NAME  run only this scenario\n"
    "  --limit=NAME     run only this limit algorithm, and no control\n"
    "  --check          run only the default limit algorithm; exit status 1 if it misses\n"
    "                   a performance target\n"
    "  --seed=N         seed of the random arrivals and work times (default 1)\n"
    "  --help           print this text\n"
    "\n"
    "Columns: goodput is a ratio to the measured capacity; urgent, normal and browse are\n"
    "the fractions of the requests of a rank that completed; precious is that of all ranks\n"
    "with a share; kept is the minimum, over their kinds except a flooding one, of the completed\n"
    "fraction of the fair share or the demand, whichever is smaller; wasted is the fraction\n"
    "of the work that was done for failed requests; attempts is calls at the bottleneck per\n"
    "request; urgent-ms is the mean time until an urgent request completed.\n";

struct settings {
    bool json = false;
    bool help = false;
    bool check = false;
    std::string topology;
    std::string scenario;
    std::string limit;
    std::uint64_t seed = 1;
};

/// Returns false for an unknown option or an operand.
bool parse(int argc, char** argv, settings& s)
{
    const std::array<option, 8> options = {{{"json", no_argument, nullptr, 'j'},
                                            {"topology", required_argument, nullptr, 't'},
                                            {"scenario", required_argument, nullptr, 'c'},
                                            {"limit", required_argument, nullptr, 'l'},
                                            {"check", no_argument, nullptr, 'k'},
                                            {"seed", required_argument, nullptr, 's'},
                                            {"help", no_argument, nullptr, 'h'},
                                            {nullptr, 0, nullptr, 0}}};
    for (int o = 0; (o = getopt_long(argc, argv, "", options.data(), nullptr)) != -1;) {
        switch (o) {
        case 'j':
            s.json = true;
            break;
        case 't':
            s.topology = optarg;
            break;
        case 'c':
            s.scenario = optarg;
            break;
        case 'l':
            s.limit = optarg;
            break;
        case 's':
            s.seed = std::stoull(optarg);
            break;
        case 'k':
            s.check = true;
            break;
        case 'h':
            s.help = true;
            break;
        default:
            return false;
        }
    }
    return optind == argc;
}

std::vector<trefoil::experiment::run_metrics> run_all(const settings& s)
{
    using namespace trefoil::experiment;
    std::vector<std::string> controls = {"off"};
    if (s.check) {
        controls = {default_limit_name()};
    }
    else if (s.limit.empty()) {
        controls.insert(controls.end(), limit_names().begin(), limit_names().end());
    }
    else {
        controls.push_back(s.limit);
    }
    std::vector<run_metrics> results;
    for (const auto& model : {one_target(), three_services()}) {
        if (!s.topology.empty() && s.topology != model.name) {
            continue;
        }
        std::map<double, double> capacity;
        for (const auto& c : make_scenarios(model)) {
            if (!s.scenario.empty() && s.scenario != c.name) {
                continue;
            }
            if (!capacity.contains(c.real_slots)) {
                capacity[c.real_slots] = measure_capacity(model, c.real_slots, s.seed);
            }
            for (const auto& control : controls) {
                results.push_back(run_scenario(model, c, control, capacity[c.real_slots], s.seed));
            }
        }
    }
    return results;
}

/// Prints the missed performance targets and returns whether there are any.
bool report_missed(const std::vector<trefoil::experiment::run_metrics>& results)
{
    bool any = false;
    for (const auto& f : results) {
        for (const auto& line : trefoil::experiment::missed_targets(f)) {
            std::cerr << "missed: " << line << '\n';
            any = true;
        }
    }
    return any;
}

} // namespace

int main(int argc, char** argv)
{
    settings s;
    try {
        if (!parse(argc, argv, s)) {
            std::cerr << usage;
            return 2;
        }
        if (s.help) {
            std::cout << usage;
            return 0;
        }
        const auto results = run_all(s);
        if (s.json) {
            trefoil::experiment::print_json(std::cout, results, s.seed);
        }
        else {
            trefoil::experiment::print_table(std::cout, results);
        }
        if (s.check) {
            return report_missed(results) ? 1 : 0;
        }
    }
    catch (const std::exception& e) {
        std::cerr << "overload_experiment: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
