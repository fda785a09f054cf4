#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

/// One measured point: the cost of an operation with `size` entries.
struct measurement {
    std::string name;
    std::size_t size = 0;
    double ns_per_op = 0;
    double bytes_per_entry = 0;
};

/// Sizes at which each operation is measured.
const std::vector<std::size_t>& measured_sizes();

/// Bytes that this program has allocated and not freed.
std::size_t allocated_bytes() noexcept;

/// Median over several rounds of the time of one call of `operation`, which receives a counter.
double time_per_call(const std::function<void(std::size_t)>& operation);

/// Keeps the compiler from removing the computation of a value.
template<class Value>
void keep(const Value& value)
{
    asm volatile("" : : "r,m"(value) : "memory");
}

/// Each function measures one operation at all sizes; each is in the file of its name.
std::vector<measurement> measure_target_pick();
std::vector<measurement> measure_flow_table();
std::vector<measurement> measure_crash_decide();
std::vector<measurement> measure_member_view();
std::vector<measurement> measure_entry_allowances();
