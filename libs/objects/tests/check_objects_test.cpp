#include "objects/check_objects.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <tuple>

using namespace trefoil;

namespace {

const std::string valid_text = R"([[group]]
name = "hotel"
share = 1.5
[[group]]
name = "resort"
share = 2
[[rank]]
name = "orders"
order = 1
share = 5
[[rank]]
name = "browsing"
order = 2
share = 0
[[service]]
name = "pedidos"
slots = 75
connections = 550
[[service]]
name = "bastidores"
slots = 75
connections = 550
[[kind]]
name = "confirm"
rank = "orders"
entry = "pedidos"
once_only = true
deadline_ms = 5000
retries = 3
[[kind]]
name = "browse"
rank = "browsing"
entry = "bastidores"
deadline_ms = 1000
[[call]]
from = "pedidos"
to = "bastidores"
kinds = ["confirm"]
)";

/// One change to the valid text and the problem that it must cause.
struct invalid_input_case {
    std::string replace;
    std::string with;
    /// The problem is expected at the line where this text first occurs after the change.
    std::string at;
    std::string object;
    std::string message;
};

std::size_t line_of(const std::string& text, const std::string& part)
{
    const auto at = text.find(part);
    return 1 + static_cast<std::size_t>(
                   std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n'));
}

const std::vector<invalid_input_case> cases = {
    {"share = 1.5", "share = 1.5\nshares = 2", "shares = 2", "group hotel", "unknown key 'shares'"},
    {"[[group]]", "[extra]\nx = 1\n[[group]]", "[extra]", "extra", "unknown table or key"},
    {"[[group]]\nname = \"hotel\"\nshare = 1.5\n[[group]]", "[group]", "[group]", "group",
     "is not an array of tables"},
    {"share = 1.5\n", "", "[[group]]", "group hotel", "'share' is missing"},
    {"name = \"hotel\"\n", "", "[[group]]", "group ?", "'name' is missing"},
    {"deadline_ms = 5000\n", "", "[[kind]]", "kind confirm", "'deadline_ms' is missing"},
    {"from = \"pedidos\"\n", "", "[[call]]", "call ?->bastidores", "'from' is missing"},
    {"slots = 75", "slots = -75", "slots = -75", "service pedidos", "'slots' is -75, out of range"},
    {"slots = 75", "slots = 0", "slots = 0", "service pedidos", "out of range"},
    {"slots = 75", "slots = 7.5", "slots = 7.5", "service pedidos", "not an integer"},
    {"connections = 550", "connections = 4294967297", "connections = 4", "service pedidos",
     "out of range"},
    {"retries = 3", "retries = 101", "retries = 101", "kind confirm", "out of range"},
    {"order = 2", "order = 99999999999", "order = 9", "rank browsing", "out of range"},
    {"once_only = true", "once_only = 1", "once_only = 1", "kind confirm", "not a boolean"},
    {"share = 1.5", "share = \"1\"", "share = \"1\"", "group hotel", "not a number"},
    {"rank = \"orders\"", "rank = 3", "rank = 3", "kind confirm", "not a string"},
    {"rank = \"orders\"", "rank = \"order\"", "rank = \"order\"", "kind confirm",
     "unknown rank 'order'"},
    {"entry = \"pedidos\"", "entry = \"pedido\"", "entry = \"pedido\"", "kind confirm",
     "unknown service 'pedido'"},
    {"to = \"bastidores\"", "to = \"bastidor\"", "to = \"bastidor\"", "call pedidos->bastidor",
     "unknown service"},
    {"kinds = [\"confirm\"]", "kinds = [\"confirms\"]", "kinds = [", "call pedidos->bastidores",
     "unknown kind 'confirms'"},
    {"kinds = [\"confirm\"]", "kinds = []", "kinds = [", "call pedidos->bastidores",
     "not a non-empty array of names"},
    {"kinds = [\"confirm\"]", "kinds = [\"confirm\", \"confirm\"]", "kinds = [",
     "call pedidos->bastidores", "listed twice"},
    {"kinds = [\"confirm\"]", "kinds = [\"browse\"]", "kinds = [", "call pedidos->bastidores",
     "'browse' never reaches service 'pedidos'"},
    {"name = \"resort\"", "name = \"hotel\" #2", "#2", "group hotel", "already used at objects:2"},
    {"name = \"browse\"", "name = \"confirm\" #2", "#2", "kind confirm", "already used"},
    {"[[call]]", "[[call]]\nfrom = \"pedidos\"\nto = \"bastidores\"\n[[call]]",
     "from = \"pedidos\"\nto = \"bastidores\"\nkinds", "call pedidos->bastidores",
     "already defined at"},
    {"order = 2", "order = 1 #2", "#2", "rank browsing", "already used by rank orders"},
    {"[[call]]", "[[call]]\nfrom = \"bastidores\"\nto = \"pedidos\"\n[[call]]",
     "from = \"pedidos\"\n", "call pedidos->bastidores",
     "the cycle bastidores -> pedidos -> bastidores"},
    {"to = \"bastidores\"", "to = \"pedidos\"", "from = ", "call pedidos->pedidos",
     "the cycle pedidos -> pedidos"},
    {"share = 1.5", "share = 0", "share = 0", "group hotel", "must be above 0"},
    {"share = 1.5", "share = -1", "share = -1", "group hotel", "must be above 0"},
    {"share = 1.5", "share = nan", "share = nan", "group hotel", "must be above 0"},
    {"share = 1.5", "share = inf", "share = inf", "group hotel", "must be above 0"},
    {"share = 5", "share = -0.5", "share = -0.5", "rank orders", "must be from 0"},
    {"once_only = true", "once_only = true\nrepeatable = true", "repeatable", "kind confirm",
     "once_only and repeatable"},
    {"deadline_ms = 5000", "deadline_ms = 0", "deadline_ms = 0", "kind confirm",
     "ms is out of range"},
    {"deadline_ms = 5000", "deadline_ms = -9223372036854775808", "deadline_ms = -9", "kind confirm",
     "ms is out of range"},
    {"deadline_ms = 5000", "deadline_ms = 30001", "deadline_ms = 3", "kind confirm",
     "ms is out of range"},
    {"name = \"hotel\"", "name = \"hôtel\"", "name = \"h", "group hôtel", "cannot be used in"},
    {"name = \"browse\"", "name = \"browse=1\"", "name = \"browse=1", "kind browse=1",
     "cannot be used in"},
    {"name = \"browse\"", "name = \"\"", "name = \"\"", "kind ", "cannot be used in"},
    {"share = 1.5", "share = ", "share = ", "file", ""},
    {"share = 1.5", "share = 1.5\nshare = 2", "share = 2", "file", ""},
};

} // namespace

struct check_objects_fixture {
    static std::vector<problem> problems_of(const std::string& text)
    {
        load_result loaded;
        load_objects(text, "objects", loaded);
        return check_objects(loaded);
    }
};

// Guards against a defect that is accepted, or that is reported at the wrong line or object.
TEST_CASE_METHOD(check_objects_fixture,
                 "objects_with_one_defect_are_rejected_at_its_line_and_object")
{
    REQUIRE(problems_of(valid_text).empty());
    for (const auto& c : cases) {
        auto text = valid_text;
        REQUIRE(text.find(c.replace) != std::string::npos);
        text.replace(text.find(c.replace), c.replace.size(), c.with);
        const auto problems = problems_of(text);
        std::string shown = c.with + "\n";
        for (const auto& p : problems) {
            shown += describe(p) + "\n";
        }
        INFO(shown);
        const auto it = std::ranges::find_if(problems, [&](const problem& p) {
            return p.object == c.object && p.message.find(c.message) != std::string::npos;
        });
        REQUIRE(it != problems.end());
        CHECK(it->file == "objects");
        CHECK(it->line == line_of(text, c.at));
        CHECK(it->level == severity::error);
        CHECK_FALSE(it->remedy.empty());
        CHECK(std::ranges::is_sorted(problems, {},
                                     [](const problem& p) { return std::tie(p.file, p.line); }));
    }
}

TEST_CASE_METHOD(check_objects_fixture, "objects_without_rank_of_share_zero_give_only_a_warning")
{
    auto text = valid_text;
    text.replace(text.find("share = 0"), 9, "share = 1");
    const auto problems = problems_of(text);
    REQUIRE(problems.size() == 1);
    REQUIRE(problems[0].level == severity::warning);
    REQUIRE_FALSE(has_errors(problems));
}

// Guards against checks that consider files separately: references cross files, and the size limit
// applies to their sum.
TEST_CASE_METHOD(check_objects_fixture, "objects_in_two_files_are_checked_as_one_set")
{
    const auto half = valid_text.find("[[kind]]");
    load_result loaded;
    load_objects(valid_text.substr(0, half), "one", loaded);
    load_objects(valid_text.substr(half), "two", loaded);
    REQUIRE(check_objects(loaded).empty());
    load_objects(std::string(max_set_bytes, '\n'), "three", loaded);
    REQUIRE(check_objects(loaded).at(0).message.find("above 1000000") != std::string::npos);
}

// Guards against a syntax error in one file that is obscured by unknown-name errors for all the
// objects of that file.
TEST_CASE_METHOD(check_objects_fixture,
                 "objects_referring_to_an_unparsable_file_are_not_reported_as_unknown")
{
    load_result loaded;
    load_objects(valid_text.substr(valid_text.find("[[kind]]")), "one", loaded);
    load_objects("[[rank]\n", "two", loaded);
    const auto problems = check_objects(loaded);
    REQUIRE(problems.size() == 1);
    REQUIRE(problems[0].file == "two");
}

TEST_CASE_METHOD(check_objects_fixture, "objects_with_control_characters_are_described_on_one_line")
{
    const auto problems = problems_of("[[group]]\nname = \"a\\n\\u001b[2J\"\nshare = 0\n");
    for (const auto& p : problems) {
        REQUIRE(describe(p).find_first_of("\n\x1b") == std::string::npos);
    }
}

TEST_CASE_METHOD(check_objects_fixture,
                 "objects_in_a_chain_of_twenty_thousand_services_are_checked")
{
    load_result loaded;
    auto& calls = loaded.objects.calls;
    for (int i = 0; i < 20'000; ++i) {
        calls.push_back({service_name("s" + std::to_string(i)),
                         service_name("s" + std::to_string((i + 1) % 20'000)),
                         {}});
    }
    const auto problems = check_objects(loaded);
    REQUIRE(std::ranges::any_of(problems, [](const problem& p) {
        return p.message.find("has the cycle") != std::string::npos;
    }));
}
