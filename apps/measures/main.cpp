#include "run_results.h"

#include <cstdio>
#include <exception>
#include <optional>

namespace {

constexpr double bucket_seconds = 0.1;
/// Recovered: this share of arrivals is served in each of so many buckets in a row.
constexpr double recovered_share = 0.95;
constexpr int recovered_buckets = 5;

/// Buckets of all kinds together.
std::map<std::uint64_t, kind_counts> all_kinds(const run_results& run)
{
    std::map<std::uint64_t, kind_counts> sum;
    for (const auto& [kind, buckets] : run.timeline) {
        for (const auto& [index, counts] : buckets) {
            sum[index].offered += counts.offered;
            sum[index].complete += counts.complete;
        }
    }
    return sum;
}

/// Seconds from `trigger_end` until service is back, or nothing if it never is.
std::optional<double> recovery_seconds(const run_results& run, double trigger_end)
{
    const auto first = static_cast<std::uint64_t>(trigger_end / bucket_seconds);
    int good = 0;
    for (const auto& [index, counts] : all_kinds(run)) {
        if (index < first) {
            continue;
        }
        good = counts.served() >= recovered_share ? good + 1 : 0;
        if (good == recovered_buckets) {
            const auto back = index + 1 - recovered_buckets - first;
            return static_cast<double>(back) * bucket_seconds;
        }
    }
    return std::nullopt;
}

void print_phase(const std::string& phase, const run_results& on, const run_results& off)
{
    std::printf("%s\n", phase.c_str());
    for (const auto& [kind, counts] : on.phases.at(phase)) {
        const auto& base = off.phases.at(phase).at(kind);
        std::printf("  %-20s offered %6llu   served %6.1f%% (control off %6.1f%%)   sends per "
                    "request %.2f (%.2f)\n",
                    kind.c_str(), static_cast<unsigned long long>(counts.offered),
                    100.0 * counts.served(), 100.0 * base.served(),
                    static_cast<double>(counts.sends) / static_cast<double>(counts.offered),
                    static_cast<double>(base.sends) / static_cast<double>(base.offered));
    }
}

void print_recovery(const char* label, const run_results& run, double trigger_end)
{
    const auto seconds = recovery_seconds(run, trigger_end);
    if (seconds) {
        std::printf("  %-12s %.1f s\n", label, *seconds);
    }
    else {
        std::printf("  %-12s not within the run\n", label);
    }
}

void print_truth(const char* label, const run_results& run)
{
    std::printf(
        "  %-12s requests %llu, complete %llu, wrong answers %llu, once-only work run %llu, "
        "run twice %llu, run although told not-run %llu\n",
        label, static_cast<unsigned long long>(run.total(&kind_counts::offered)),
        static_cast<unsigned long long>(run.total(&kind_counts::complete)),
        static_cast<unsigned long long>(run.total(&kind_counts::wrong)),
        static_cast<unsigned long long>(run.once_only_ran),
        static_cast<unsigned long long>(run.ran_twice),
        static_cast<unsigned long long>(run.ran_although_not_run));
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4) {
        std::fprintf(stderr, "usage: measures TITLE ON.json OFF.json [TRIGGER_END_SECONDS]...\n");
        return 2;
    }
    try {
        const auto on = read_results(argv[2]);
        const auto off = read_results(argv[3]);
        std::printf("== %s: control on (control off in brackets)\n", argv[1]);
        for (const auto& [phase, kinds] : on.phases) {
            print_phase(phase, on, off);
        }
        for (int i = 4; i < argc; ++i) {
            std::printf("recovery after %s s\n", argv[i]);
            print_recovery("control on", on, std::stod(argv[i]));
            print_recovery("control off", off, std::stod(argv[i]));
        }
        std::printf("answers and executions\n");
        print_truth("control on", on);
        print_truth("control off", off);
        return 0;
    }
    catch (const std::exception& e) {
        std::fprintf(stderr, "measures: %s\n", e.what());
        return 1;
    }
}
