#include "any_controller.h"
#include "check.h"
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
    "Measures admission control against no control in a small queueing model.\n"
    "\n"
    "  --json           print JSON instead of a table\n"
    "  --topology=NAME  run only one-target or three-services\n"
    "  --scenario=NAME  run only this scenario\n"
    "  --limit=NAME     run only this limit, and no control\n"
    "  --check          run only the default limit; exit status 1 if it misses a target\n"
    "  --seed=N         seed of arrivals and work times (default 1)\n"
    "  --help           print this text\n"
    "\n"
    "Columns: goodput is a ratio to the measured capacity; urgent, normal, browse and\n"
    "precious are parts of the requests that completed; kept is the smallest part of its\n"
    "fair share or demand that a precious kind kept; wasted is the part of the work done\n"
    "for requests that failed; attempts is calls at the bottleneck per request; urgent-ms\n"
    "is the mean time until an urgent request completed.\n";

struct settings {
    bool json = false;
    bool help = false;
    bool check = false;
    std::string topology;
    std::string scenario;
    std::string limit;
    std::uint64_t seed = 1;
};

/// Returns false on an option that is not known.
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

std::vector<trefoil::experiment::run_figures> run_all(const settings& s)
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
    std::vector<run_figures> figures;
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
                figures.push_back(run_scenario(model, c, control, capacity[c.real_slots], s.seed));
            }
        }
    }
    return figures;
}

/// Prints the missed targets and returns whether there are any.
bool report_missed(const std::vector<trefoil::experiment::run_figures>& figures)
{
    bool any = false;
    for (const auto& f : figures) {
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
        const auto figures = run_all(s);
        if (s.json) {
            trefoil::experiment::print_json(std::cout, figures, s.seed);
        }
        else {
            trefoil::experiment::print_table(std::cout, figures);
        }
        if (s.check) {
            return report_missed(figures) ? 1 : 0;
        }
    }
    catch (const std::exception& e) {
        std::cerr << "overload_experiment: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
