#include "check_rules.h"
#include "objects/check_objects.h"
#include "value_ranges.h"

#include <cmath>
#include <map>

namespace trefoil {

namespace {

void check_range(std::string_view field, std::int64_t value, integer_range range,
                 const object_location& at, const std::string& label, problem_list& problems)
{
    if (!at.is_invalid(field) && !range.contains(value)) {
        problems.add(
            at, field, label,
            "field '" + std::string(field) + "' is " + std::to_string(value) + ", out of range",
            "use a value from " + std::to_string(range.min) + " to " + std::to_string(range.max));
    }
}

void check_groups(const load_result& loaded, problem_list& problems)
{
    const auto& groups = loaded.objects.groups;
    for (std::size_t i = 0; i < groups.size(); ++i) {
        const auto& at = location_at(loaded.locations.groups, i);
        const auto share = groups[i].share;
        // The condition is negated so that NaN is rejected.
        if (!at.is_invalid("share") && !(share > 0.0 && share <= max_share)) {
            problems.add(at, "share", "group " + groups[i].name.str(),
                         "the share must be above 0 and at most 1e9",
                         "use a positive share; remove the group to stop serving it");
        }
    }
}

void check_ranks(const load_result& loaded, problem_list& problems)
{
    const auto& ranks = loaded.objects.ranks;
    std::map<int, std::string> first_uses;
    bool has_zero_share = false;
    for (std::size_t i = 0; i < ranks.size(); ++i) {
        const auto& at = location_at(loaded.locations.ranks, i);
        const auto label = "rank " + ranks[i].name.str();
        const auto share = ranks[i].share;
        has_zero_share = has_zero_share || share == 0.0;
        if (!at.is_invalid("share") && !(share >= 0.0 && share <= max_share)) {
            problems.add(at, "share", label, "the share must be from 0 to 1e9",
                         "use 0 for a rank that is served after all other ranks");
        }
        check_range("order", ranks[i].order, order_range, at, label, problems);
        if (at.is_invalid("order")) {
            continue;
        }
        const auto [first, is_new] = first_uses.emplace(ranks[i].order, ranks[i].name.str());
        if (!is_new) {
            problems.add(at, "order", label,
                         "order " + std::to_string(ranks[i].order) + " is already used by rank " +
                             first->second,
                         "give each rank its own order; a lower one is more urgent");
        }
    }
    if (!ranks.empty() && !has_zero_share) {
        problems.add_to_set("no rank has share 0",
                            "give the least urgent rank, such as browsing, share 0 so that it is "
                            "rejected first",
                            severity::warning);
    }
}

void check_kinds(const load_result& loaded, problem_list& problems)
{
    const auto& kinds = loaded.objects.kinds;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        const auto& at = location_at(loaded.locations.kinds, i);
        const auto label = "kind " + kinds[i].name.str();
        if (kinds[i].once_only && kinds[i].repeatable) {
            problems.add(
                at, "repeatable", label, "the kind is both once_only and repeatable",
                "set repeatable to false if a request must not be executed twice; otherwise set "
                "once_only to false");
        }
        const auto deadline = kinds[i].deadline;
        if (!at.is_invalid("deadline_ms") &&
            (deadline <= std::chrono::milliseconds::zero() || deadline > max_deadline)) {
            problems.add(at, "deadline_ms", label,
                         "the deadline of " + std::to_string(deadline.count()) +
                             " ms is out of range",
                         "use a value from 1 to " + std::to_string(max_deadline.count()) +
                             ", the lifetime of a request id");
        }
        check_range("retries", kinds[i].retries, retries_range, at, label, problems);
    }
}

void check_services(const load_result& loaded, problem_list& problems)
{
    const auto& services = loaded.objects.services;
    for (std::size_t i = 0; i < services.size(); ++i) {
        const auto& at = location_at(loaded.locations.services, i);
        const auto label = "service " + services[i].name.str();
        check_range("slots", services[i].slots, slots_range, at, label, problems);
        check_range("connections", services[i].connections, connections_range, at, label, problems);
    }
}

} // namespace

void check_values(const load_result& loaded, problem_list& problems)
{
    check_groups(loaded, problems);
    check_ranks(loaded, problems);
    check_kinds(loaded, problems);
    check_services(loaded, problems);
}

} // namespace trefoil
