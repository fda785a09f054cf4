#include "routing/flow_table.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <cmath>
#include <limits>

using namespace trefoil;

namespace {

struct flow_table_fixture {
    flow_table table{{.capacity = 3}};
    mono_time now{std::chrono::hours(1)};
    kind_name order{"order"};
    group_name house{"house"};
    std::array<service_name, 2> path{service_name("booking"), service_name("dyeing")};
};

} // namespace

// Guards against requests that are admitted at the entry node and refused deep in the call chain.
TEST_CASE_METHOD(flow_table_fixture, "flow_table_path_gives_smallest_fraction_of_its_services")
{
    table.record(path[0], order, house, 0.5, now);
    table.record(path[1], order, house, 0.25, now);
    table.record(service_name("browsing"), order, house, 0.1, now);
    REQUIRE(table.min_fraction(path, order, house, now) == 0.25);
    REQUIRE(table.min_fraction({path.data(), 1}, order, house, now) == 0.5);
    REQUIRE(table.min_fraction(path, order, group_name("other"), now) == 1.0);
    REQUIRE(table.min_fraction(path, kind_name("other"), house, now) == 1.0);
}

// Guards against a flow that stays throttled by a fraction that is no longer updated.
TEST_CASE_METHOD(flow_table_fixture, "flow_table_unconfirmed_fraction_expires")
{
    table.record(path[0], order, house, 0.5, now);
    const auto later = now + std::chrono::seconds(5);
    REQUIRE(table.min_fraction(path, order, house, later) == 1.0);
    table.record(path[0], order, house, 0.9, later);
    REQUIRE(table.min_fraction(path, order, house, later) == 0.9);
    table.expire(later + std::chrono::seconds(5));
    REQUIRE(table.size() == 0);
}

// Guards against a refused flow with few requests whose recovery at the target is not detected.
TEST_CASE_METHOD(flow_table_fixture, "flow_table_unconfirmed_fraction_rises_at_the_targets_rate")
{
    table.record(path[0], order, house, 0.1, now);
    REQUIRE(table.min_fraction(path, order, house, now + std::chrono::milliseconds(200)) == 0.1);
    const auto raised =
        table.min_fraction(path, order, house, now + std::chrono::milliseconds(700));
    REQUIRE(raised == Approx(0.5));
    const auto later = now + std::chrono::milliseconds(1400);
    REQUIRE(table.min_fraction(path, order, house, later) == 1.0);
    table.record(path[0], order, house, 0.2, later);
    REQUIRE(table.min_fraction(path, order, house, later) == 0.2);
}

// Guards against overload of a recovering target: if many callers each raise a small fraction by
// the same absolute step, together they send a multiple of its capacity before the next response.
TEST_CASE_METHOD(flow_table_fixture, "flow_table_unconfirmed_fraction_grows_in_proportion")
{
    flow_table growing{{.raise_per_second = 0.0, .growth_per_second = 1.0}};
    growing.record(path[0], order, house, 0.05, now);
    const auto grown =
        growing.min_fraction(path, order, house, now + std::chrono::milliseconds(1200));
    REQUIRE(grown == Approx(0.05 * std::exp(1.0)));
    const auto later = now + std::chrono::milliseconds(4000);
    REQUIRE(growing.min_fraction(path, order, house, later) == 1.0);
}

// Guards against a fraction of 0, from which a flow cannot recover, and against unbounded growth of
// the table due to external input.
TEST_CASE_METHOD(flow_table_fixture, "flow_table_any_records_stay_bounded_and_in_range")
{
    REQUIRE(rc::check([this](const std::vector<std::pair<int, double>>& records) {
        auto copy = table;
        for (const auto& [service, fraction] : records) {
            copy.record(service_name(std::to_string(service)), order, house, fraction, now);
            copy.record(path[0], order, house, fraction, now);
            const double min_fraction = copy.min_fraction(path, order, house, now);
            RC_ASSERT(min_fraction >= flow_table::fraction_floor);
            RC_ASSERT(min_fraction <= 1.0);
            RC_ASSERT(copy.size() <= 3U);
        }
    }));
    for (const double out_of_range : {std::numeric_limits<double>::quiet_NaN(), -1.0, 7.0}) {
        table.record(path[0], order, house, out_of_range, now);
        REQUIRE(table.min_fraction(path, order, house, now) >= flow_table::fraction_floor);
        REQUIRE(table.min_fraction(path, order, house, now) <= 1.0);
    }
}
