#include "wire/vm_list.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace trefoil;

struct vm_list_fixture {
    static vm_list arbitrary_list()
    {
        vm_list list{{*rc::gen::arbitrary<std::uint64_t>()}, {}};
        const auto count = *rc::gen::inRange(0, 5);
        for (int i = 0; i < count; ++i) {
            const auto octet = *rc::gen::inRange(0, 256);
            list.vms.push_back({vm_name("vm-" + std::to_string(i)),
                                availability_zone_name("caxias"), service_name("pedidos"),
                                i == 0 ? "fe80::1" : "10.0.0." + std::to_string(octet),
                                *rc::gen::inRange<std::uint16_t>(1, 65535),
                                *rc::gen::inRange<std::uint16_t>(1, 65535),
                                *rc::gen::arbitrary<bool>() ? vm_state::live : vm_state::leaving});
        }
        return list;
    }

    static bool parses(const std::string& json)
    {
        try {
            parse_vm_list(json);
            return true;
        }
        catch (const invalid_vm_list&) {
            return false;
        }
    }

    /// JSON of a valid list in which the first `from` is replaced by `to`.
    static std::string valid_list_with(const std::string& from, const std::string& to)
    {
        std::string text =
            R"({"revision":7,"vms":[{"vm":"a","availability_zone":"bento","service":"s",)"
            R"("address":"127.0.0.1","call_port":80,"control_port":81,"state":"live"}]})";
        const auto at = text.find(from);
        REQUIRE(at != std::string::npos);
        return text.replace(at, from.size(), to);
    }
};

// Guards against a list that loses or changes a field on the way between two processes.
TEST_CASE_METHOD(vm_list_fixture, "vm_list_of_any_entries_round_trips_through_json")
{
    REQUIRE(rc::check([] {
        const auto list = arbitrary_list();
        const auto read = parse_vm_list(to_json(list));
        RC_ASSERT(read.revision == list.revision);
        RC_ASSERT(read.vms == list.vms);
    }));
}

// Guards against untrusted input that crashes the parser or throws another type than
// invalid_vm_list.
TEST_CASE_METHOD(vm_list_fixture, "vm_list_arbitrary_or_mutated_json_is_parsed_or_rejected")
{
    REQUIRE(rc::check([](const std::string& text) { RC_ASSERT_FALSE(parses(text)); }));
    REQUIRE(rc::check([] {
        auto text = to_json(arbitrary_list());
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 12);
        text.replace(at, length,
                     *rc::gen::container<std::string>(
                         rc::gen::elementOf(std::string("{}[]\",:-0e9.\\u\n\xff"))));
        if (parses(text)) {
            const auto list = parse_vm_list(text);
            RC_ASSERT(parse_vm_list(to_json(list)).vms == list.vms);
        }
    }));
    REQUIRE_FALSE(parses(std::string(500'000, '[')));
    REQUIRE_FALSE(parses(std::string(max_vm_list_bytes + 1, ' ')));
}

// Guards against invalid fields that are accepted and later break headers, sockets or the choice of
// request owners. Each case replaces one part of a valid list.
TEST_CASE_METHOD(vm_list_fixture, "vm_list_with_one_invalid_field_is_rejected")
{
    REQUIRE(parses(valid_list_with("7", "8")));
    REQUIRE(parses(valid_list_with("\"state\"", "\"rack\":3,\"state\"")));
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"a\"", "\"\""},
             {"\"a\"", "\"a b\""},
             {"\"a\"", "\"a\\r\\nx: y\""},
             {"\"a\"", "3"},
             {"\"s\"", "\"a/b\""},
             {"127.0.0.1", "localhost"},
             {"127.0.0.1", "127.0.0.1\\u0000x"},
             {"127.0.0.1", "127.0.0"},
             {":80", ":0"},
             {":80", ":65536"},
             {":80", ":-1"},
             {":80", ":80.5"},
             {":80", ":\"80\""},
             {"live", "gone"},
             {"\"revision\":7", "\"revision\":-1"},
             {"\"revision\":7", "\"revision\":7,\"revision\":8"},
             {"]}", "]} {}"},
             {"]}", "]"},
             {"[{", "[3,{"}}) {
        INFO(from << " -> " << to);
        CHECK_FALSE(parses(valid_list_with(from, to)));
    }
    auto duplicated = valid_list_with("7", "7");
    const auto entry = duplicated.substr(duplicated.find("{\"vm\""),
                                         duplicated.find(']') - duplicated.find("{\"vm\""));
    duplicated.insert(duplicated.find(']'), "," + entry);
    REQUIRE_FALSE(parses(duplicated));
}
