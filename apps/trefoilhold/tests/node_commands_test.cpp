#include "audit_reader.h"
#include "fake_node.h"
#include "json_layout.h"
#include "tool_errors.h"
#include "tool_fixture.h"

#include <catch2/catch.hpp>

using namespace trefoil;
using trefoil_test::fake_node;

struct node_commands_fixture : trefoil_test::tool_fixture {
    static std::string status_of(const std::string& vm, int version)
    {
        return R"({"node":{"vm":")" + vm + R"("},"configuration":{"version":)" +
               std::to_string(version) + R"(,"digest":"d"},"extra":{"new":1},)" +
               R"("members":[{"vm":"a","state":"live"},{"vm":"b-long","load":2}],)" +
               R"("admission":{"browse/shop":{"fraction":0.5}},"quarantine":[]})";
    }

    static web::json::value entries(std::uint64_t first, std::uint64_t last,
                                    const std::string& what = "list_accepted")
    {
        std::string text;
        for (auto number = first; number <= last; ++number) {
            text += (text.empty() ? "" : ",") + std::string(R"({"number":)") +
                    std::to_string(number) + R"(,"time_ms":1,"what":")" + what + "\"}";
        }
        return web::json::value::parse("{\"entries\":[" + text + "]}");
    }
};

// Guards against hidden fields when a newer node reports fields that this version does not know.
TEST_CASE_METHOD(node_commands_fixture, "status_with_unknown_fields_shows_each_as_line_or_table")
{
    const fake_node node("/status", status_of("vm-1", 4));
    REQUIRE(run({"status", node.address()}) == 0);
    REQUIRE(out == "admission:\n"
                   "  name         fraction\n"
                   "  browse/shop  0.5\n"
                   "configuration:\n"
                   "  digest   d\n"
                   "  version  4\n"
                   "extra:\n"
                   "  new  1\n"
                   "members:\n"
                   "  state  vm      load\n"
                   "  live   a\n"
                   "         b-long  2\n"
                   "node:\n"
                   "  vm  vm-1\n"
                   "quarantine: (none)\n");
    REQUIRE(run({"status", "--json", "http://" + node.address()}) == 0);
    REQUIRE(web::json::value::parse(out) == web::json::value::parse(status_of("vm-1", 4)));
}

TEST_CASE_METHOD(node_commands_fixture, "status_of_unreachable_or_invalid_node_has_status_6_or_2")
{
    const fake_node node("/status", "{\"node\":");
    const fake_node other("/status", "[1]");
    REQUIRE(run({"status", node.address()}) == 6);
    REQUIRE(run({"status", other.address()}) == 6);
    REQUIRE(run({"audit", other.address()}) == 6);
    REQUIRE(err.find("status 404") != std::string::npos);
    std::string stopped_address;
    {
        const fake_node stopped("", "");
        stopped_address = stopped.address();
    }
    REQUIRE(run({"status", stopped_address}) == 6);
    REQUIRE(err.find("cannot be reached") != std::string::npos);
    REQUIRE(run({"status", "localhost"}) == 2);
    REQUIRE(run({"status", "ht!tp://x:1"}) == 2);
    REQUIRE(run({"status", "a:1", "b:2"}) == 2);
    REQUIRE(out.empty());
}

// Guards against a fleet command that shows no node at all when one of them is down.
TEST_CASE_METHOD(node_commands_fixture, "fleet_with_one_node_down_shows_the_others_and_status_6")
{
    const fake_node one("/status", status_of("vm-1", 4));
    const fake_node two("/status", status_of("vm-2", 5));
    REQUIRE(run({"fleet", one.address(), two.address()}) == 0);
    REQUIRE(run({"fleet", one.address(), "127.0.0.1:1", two.address()}) == 6);
    REQUIRE(out.find("  vm    digest  version\n") != std::string::npos);
    REQUIRE(out.find("  vm-1  d       4\n") != std::string::npos);
    REQUIRE(out.find("  vm-2  d       5\n") != std::string::npos);
    REQUIRE(out.find("configuration 4:d on 1 of 3 nodes\n") != std::string::npos);
    REQUIRE(err.find("127.0.0.1:1") != std::string::npos);
    REQUIRE(run({"fleet", "--json", one.address(), "127.0.0.1:1"}) == 6);
    const auto json = web::json::value::parse(out);
    REQUIRE(json.at("nodes").at(1).has_field("error"));
    REQUIRE(json.at("configurations").at("4:d").as_integer() == 1);
}

TEST_CASE_METHOD(node_commands_fixture, "audit_of_node_lists_entries_with_time_and_all_fields")
{
    const fake_node node("/audit?after=0",
                         R"({"entries":[{"number":3,"time_ms":1764819000123,"why":"newer",)"
                         R"("what":"config_accepted","from":"","to":"4","extra":"a\u001bb"}]})");
    REQUIRE(run({"audit", node.address()}) == 0);
    REQUIRE(out == "2025-12-04T03:30:00.123Z #3 what=config_accepted to=4 why=newer extra=a?b\n");
    REQUIRE(err.find("2 entries were dropped") != std::string::npos);
}

// Guards against entries that are printed twice or lost without notice with --follow.
TEST_CASE_METHOD(node_commands_fixture,
                 "audit_reader_over_pages_gaps_and_restarts_reports_each_entry_or_loss")
{
    audit_reader reader;
    REQUIRE(reader.next_path() == "/audit?after=0");
    REQUIRE(reader.consume(entries(1, 3)).entries.size() == 3);
    REQUIRE(reader.next_path() == "/audit?after=2");
    REQUIRE(reader.consume(entries(3, 3)).entries.empty());
    REQUIRE(reader.consume(entries(3, 5)).entries.size() == 2);
    const auto gap = reader.consume(entries(8, 9));
    REQUIRE(gap.entries.size() == 2);
    REQUIRE(gap.missed == 2);
    // A restarted node has fewer entries, or another one under the same number.
    REQUIRE(reader.consume(entries(1, 0)).restarted);
    REQUIRE(reader.next_path() == "/audit?after=0");
    REQUIRE(reader.consume(entries(1, 3)).entries.size() == 3);
    REQUIRE(reader.consume(entries(3, 6, "node_started")).restarted);
    REQUIRE(reader.next_path() == "/audit?after=0");
}

TEST_CASE_METHOD(node_commands_fixture,
                 "audit_reader_given_malformed_trail_throws_invalid_audit_trail")
{
    for (const auto* text :
         {"{}", R"({"entries":{}})", R"({"entries":[1]})", R"({"entries":[{"number":-1}]})",
          R"({"entries":[{"number":"1"}]})", R"({"entries":[{"number":2},{"number":1}]})",
          R"({"entries":[{"number":1.5}]})"}) {
        REQUIRE_THROWS_AS(audit_reader().consume(web::json::value::parse(text)),
                          invalid_audit_trail);
    }
}
