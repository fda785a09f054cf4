#include "base/request_id.h"
#include "base/time.h"
#include "once/id_ledger.h"
#include "once/once_guard.h"
#include "once/owner_of.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace trefoil;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20261204;
const wall_time wall{std::chrono::milliseconds(1'700'000'000'000)};

void print(const std::string& name, std::size_t size, double ns_per_op, double bytes_per_entry)
{
    std::cout << R"({"name":")" << name << R"(","size":)" << size << R"(,"ns_per_op":)" << ns_per_op
              << R"(,"bytes_per_entry":)" << bytes_per_entry << "}\n";
}

/// Nanoseconds for each of `count` calls of `operation`.
template<class Operation>
double measure(std::size_t count, Operation operation)
{
    const auto begin = boot_clock::now();
    for (std::size_t i = 0; i < count; ++i) {
        operation(i);
    }
    return static_cast<double>((boot_clock::now() - begin).count()) / static_cast<double>(count);
}

std::vector<request_id> make_ids(std::size_t count)
{
    std::mt19937_64 random(seed);
    std::vector<request_id> ids;
    for (std::size_t i = 0; i < count; ++i) {
        ids.push_back(request_id::mint(wall, random));
    }
    return ids;
}

vm_list make_list(std::size_t members)
{
    vm_list list{{1}, {}};
    for (std::size_t i = 0; i < members; ++i) {
        list.vms.push_back({vm_name("bastidores-caxias-" + std::to_string(i)),
                            {},
                            service_name("bastidores"),
                            "",
                            1,
                            1,
                            vm_state::live});
    }
    return list;
}

void measure_owner(std::size_t members)
{
    const auto list = member_list::of_service(make_list(members), service_name("bastidores"));
    const auto ids = make_ids(1'024);
    std::uintptr_t used = 0;
    const double ns = measure(1'000'000, [&](std::size_t i) {
        used += owner_of(ids[i % ids.size()], list)->str().size();
    });
    print("owner_of", members, used == 0 ? -1.0 : ns, 0);
}

void measure_ledger(std::size_t entries, std::size_t answer_size)
{
    once_options options;
    options.ledger_entries = 2 * entries;
    options.ledger_answer_bytes = 2 * entries * answer_size;
    const auto ids = make_ids(entries);
    const mono_time now = boot_clock::now();
    const auto before = mallinfo2().uordblks;
    id_ledger ledger(options);
    const auto name = [&](const char* operation) {
        return "ledger_" + std::string(operation) + "_answer_" + std::to_string(answer_size);
    };
    const double begin =
        measure(entries, [&](std::size_t i) { ledger.begin(ids[i], 0, now + 30s, now); });
    const double finish = measure(
        entries, [&](std::size_t i) { ledger.finish(ids[i], std::string(answer_size, 'x')); });
    std::size_t found = 0;
    const double find =
        measure(entries, [&](std::size_t i) { found += ledger.find(ids[i]).answer ? 1U : 0U; });
    const auto after = mallinfo2().uordblks;
    const double bytes = static_cast<double>(after - before) / static_cast<double>(entries);
    print(name("begin"), entries, begin, bytes);
    print(name("finish"), entries, finish, bytes);
    print(name("find"), found, find, bytes);
}

/// Runs a service under a virtual clock without loss; prints the requests that each node sends (and
/// answers) in a second, and the time that a node spends on sending, answering and receiving one.
void measure_lease(std::size_t members)
{
    const service_name service("bastidores");
    const auto list = make_list(members);
    std::mt19937_64 random(seed);
    std::vector<std::unique_ptr<once_guard>> guards;
    const mono_time start{1h};
    for (const auto& vm : list.vms) {
        guards.push_back(std::make_unique<once_guard>(once_options{}, vm.name, service, start));
        guards.back()->update_list(list, start);
    }
    std::size_t sent = 0;
    std::size_t holding = 0;
    double spent = 0;
    for (auto passed = 0ms; passed < 60s; passed += 100ms) {
        const bool counted = passed >= 40s;
        for (auto& guard : guards) {
            spent += measure(1,
                             [&](std::size_t) {
                                 for (const auto& call :
                                      guard->poll(start + passed, wall + passed, random())) {
                                     const auto peer = static_cast<std::size_t>(std::stoul(
                                         call.peer.str().substr(call.peer.str().rfind('-') + 1)));
                                     const auto result =
                                         guards[peer]->grant(call.request, start + passed);
                                     guard->receive(call, result, start + passed, wall + passed);
                                     sent += counted ? 1U : 0U;
                                 }
                             }) *
                     (counted ? 1.0 : 0.0);
        }
    }
    for (const auto& guard : guards) {
        holding += guard->holds_lease(start + 60s) ? 1U : 0U;
    }
    const double per_second = static_cast<double>(sent) / 20.0 / static_cast<double>(members);
    print("lease_exchange", members, spent / static_cast<double>(std::max<std::size_t>(sent, 1)),
          0);
    std::cout << R"({"name":"lease_requests","size":)" << members << R"(,"per_second":)"
              << per_second << R"(,"holders":)" << holding << "}\n";
}

} // namespace

int main()
{
    for (const std::size_t members : {3U, 20U, 100U}) {
        measure_owner(members);
    }
    for (const std::size_t entries : {1'000U, 10'000U, 100'000U}) {
        measure_ledger(entries, 0);
        measure_ledger(entries, 1'024);
    }
    for (const std::size_t members : {3U, 20U, 100U}) {
        measure_lease(members);
    }
}
