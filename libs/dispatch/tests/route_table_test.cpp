#include "dispatch/route_table.h"
#include "dispatch/weighted_rotation.h"

#include <catch2/catch.hpp>

#include <map>

using namespace trefoil;

namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix)
{
    route r;
    r.name = name;
    r.host = host;
    r.prefix = prefix;
    r.shares = {{service_name("orders"), 1.0}};
    return r;
}

struct routes_fixture {
    route_table table{
        {config_version{1},
         {make_route("all", "shop.example", "/"), make_route("orders", "shop.example", "/orders/"),
          make_route("other", "other.example", "/orders/")},
         {}}};

    std::string found(const std::string& host, const std::string& target) const
    {
        const auto* r = table.find(host, target);
        return r == nullptr ? "" : r->name;
    }
};

} // namespace

// Guards against choosing the route of a shorter prefix or of another host.
TEST_CASE_METHOD(routes_fixture, "route_table_several_prefixes_longest_of_host_wins")
{
    CHECK(found("shop.example", "/orders/17") == "orders");
    CHECK(found("shop.example", "/orders") == "all");
    CHECK(found("other.example", "/orders/17") == "other");
    CHECK(found("other.example", "/").empty());
    CHECK(found("unknown.example", "/orders/").empty());
}

// Guards against matching the query as part of the path, and against sensitivity to the case or
// port of the host.
TEST_CASE_METHOD(routes_fixture, "route_table_query_port_and_case_do_not_matter")
{
    CHECK(found("SHOP.example:8080", "/orders/?a=/x/") == "orders");
    CHECK(found("other.example", "/?x=/orders/").empty());
}

// Guards against weights that hold only over long sequences of requests.
TEST_CASE("weighted_rotation_any_ten_requests_follow_weights")
{
    auto r = make_route("split", "shop.example", "/");
    r.shares = {{service_name("a"), 90.0}, {service_name("b"), 10.0}};
    weighted_rotation rotation;
    for (int span = 0; span < 5; ++span) {
        std::map<service_name, int> counts;
        for (int i = 0; i < 10; ++i) {
            ++counts[rotation.next(r)];
        }
        CHECK(counts[service_name("a")] == 9);
        CHECK(counts[service_name("b")] == 1);
    }
}
