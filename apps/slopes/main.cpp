#include "measurement.h"

#include <iostream>

/// Prints the cost of each decision at several sizes, one JSON object a line.
int main()
{
    for (const auto measure : {measure_target_pick, measure_flow_table, measure_crash_decide,
                               measure_member_view, measure_entry_allowances}) {
        for (const auto& m : measure()) {
            std::cout << R"({"name":")" << m.name << R"(","size":)" << m.size << R"(,"ns_per_op":)"
                      << m.ns_per_op << R"(,"bytes_per_entry":)" << m.bytes_per_entry << "}\n";
        }
    }
}
