#include "generators.h"
#include "objects/bundle.h"
#include "objects/diff_objects.h"

#include <catch2/catch.hpp>

using namespace trefoil;
using namespace trefoil_test;

struct bundle_fixture {
    static object_set small_set()
    {
        object_set set;
        set.groups = {{group_name("shop"), 1.0}};
        set.ranks = {{rank_name("browsing"), 1, 0.0}};
        set.services = {{service_name("catalogue"), 5, 50}};
        set.kinds.push_back({kind_name("browse"), rank_name("browsing"), service_name("catalogue"),
                             false, true, std::chrono::milliseconds(1000), 1});
        return set;
    }

    /// Returns the messages of the problems for which parse_bundle rejects the text, one per line,
    /// or an empty string if the text is accepted.
    static std::string rejection_messages(const std::string& text)
    {
        try {
            parse_bundle(text);
            return {};
        }
        catch (const invalid_bundle& e) {
            std::string messages;
            for (const auto& p : e.problems()) {
                messages += p.message + '\n';
            }
            return messages.empty() ? "no problem given" : messages;
        }
    }

    static std::string replaced(std::string text, const std::string& from, const std::string& to)
    {
        const auto at = text.find(from);
        REQUIRE(at != std::string::npos);
        return text.replace(at, from.size(), to);
    }

    bundle first = build_bundle(small_set(), {});
};

// Guards against objects that change when a bundle is serialized and parsed again.
TEST_CASE_METHOD(bundle_fixture, "bundle_of_any_valid_set_round_trips_through_text")
{
    REQUIRE(rc::check([] {
        const auto set = any_valid_set();
        const auto built = build_bundle(set, {});
        const auto read = parse_bundle(to_toml(built));
        RC_ASSERT(read == built);
        RC_ASSERT(read.objects == canonical_order(set));
        RC_ASSERT(diff_objects(set, read.objects).empty());
    }));
}

// Guards against two builds of the same objects with different digests, which nodes would treat as
// conflicting bundles.
TEST_CASE_METHOD(bundle_fixture, "bundle_digest_is_independent_of_object_order_and_comments")
{
    REQUIRE(rc::check([] {
        const auto set = any_valid_set();
        auto other = set;
        shuffle(other.groups);
        shuffle(other.ranks);
        shuffle(other.kinds);
        shuffle(other.services);
        shuffle(other.calls);
        std::ranges::for_each(other.calls, [](auto& edge) { shuffle(edge.kinds); });
        const auto built = build_bundle(set, {});
        RC_ASSERT(build_bundle(other, {}).digest == built.digest);
        RC_ASSERT(parse_bundle("# comment\n" + to_toml(built) + "\n# end\n") == built);
    }));
}

// Guards against a digest that does not cover every number in the bundle.
TEST_CASE_METHOD(bundle_fixture, "bundle_with_one_changed_digit_is_rejected")
{
    REQUIRE(rc::check([] {
        const auto text = to_toml(build_bundle(any_valid_set(), {}));
        std::vector<std::size_t> digits;
        for (auto i = text.find("\n\n"); i < text.size(); ++i) {
            if (text[i] >= '0' && text[i] <= '8') {
                digits.push_back(i);
            }
        }
        auto changed = text;
        ++changed[*rc::gen::elementOf(digits)];
        RC_ASSERT(!rejection_messages(changed).empty());
    }));
    const auto other_base = replaced(to_toml(first), "\"none\"", "\"1:" + first.digest.str() + '"');
    REQUIRE(rejection_messages(replaced(other_base, "version = 1", "version = 2")).find("digest") !=
            std::string::npos);
}

// Guards against untrusted text that crashes the node or is rejected without a reported problem.
TEST_CASE_METHOD(bundle_fixture,
                 "bundle_text_arbitrary_or_mutated_is_parsed_or_rejected_with_problems")
{
    REQUIRE(rc::check([](const std::string& text) {
        RC_ASSERT(rejection_messages(text).find("no problem given") == std::string::npos);
        RC_ASSERT(!rejection_messages(text).empty());
    }));
    REQUIRE(rc::check([] {
        const auto text = mutate(to_toml(build_bundle(any_valid_set(), {})));
        RC_ASSERT(rejection_messages(text).find("no problem given") == std::string::npos);
        load_result loaded;
        load_objects(text, "mutated", loaded);
        for (const auto& p : check_objects(loaded)) {
            RC_ASSERT(!p.file.empty());
            RC_ASSERT(!p.object.empty());
            RC_ASSERT(!p.message.empty());
            RC_ASSERT(!p.remedy.empty());
        }
    }));
}

// Guards against a stack overflow when toml++ recursively destroys the nested tables of a long
// dotted key.
TEST_CASE_METHOD(bundle_fixture, "bundle_text_with_deep_key_is_rejected_before_parsing")
{
    std::string key = "a";
    for (int i = 0; i < 200'000; ++i) {
        key += ".a";
    }
    const auto* message = "a key has too many dotted parts\n";
    REQUIRE(rejection_messages(key + " = 1\n") == message);
    REQUIRE(rejection_messages("[" + key + "]\n") == message);
    REQUIRE(rejection_messages("x = { " + key + " = 1 }\n") == message);
    // Strings and comments before the key must not hide it.
    REQUIRE(rejection_messages("x = '''it's \"'''# '''\n" + key + " = 1\n") == message);
    REQUIRE(rejection_messages("x = \"\"\"a \\\"\"\" \"\"\"\"\"\ny.\"#\"." + key + " = 1\n") ==
            message);
    REQUIRE(rejection_messages("# " + key + "\nx = \"" + key + "\"\n").find(message) ==
            std::string::npos);
}

TEST_CASE_METHOD(bundle_fixture, "bundle_above_one_megabyte_is_rejected")
{
    REQUIRE(rejection_messages(to_toml(first) + std::string(max_set_bytes, '#'))
                .find("above 1000000") != std::string::npos);
    auto large = small_set();
    for (int i = 0; i < 30'000; ++i) {
        large.groups.push_back({group_name("group-" + std::to_string(i)), 1.0});
    }
    REQUIRE_THROWS_AS(build_bundle(large, {}), invalid_bundle);
}

// Guards against lost updates when two operators publish bundles edited from the same base.
TEST_CASE_METHOD(bundle_fixture, "bundles_of_two_operators_from_one_base_only_one_may_follow")
{
    auto edited_by_one = small_set();
    edited_by_one.services[0].slots = 6;
    auto edited_by_other = small_set();
    edited_by_other.services[0].slots = 7;
    const auto one = build_bundle(edited_by_one, first.id());
    const auto other = build_bundle(edited_by_other, first.id());
    REQUIRE(one.version == other.version);
    REQUIRE(may_follow(one, first.id()));
    REQUIRE_FALSE(may_follow(other, one.id()));
    // The next bundle of the other operator has a base that no node ever accepted.
    REQUIRE_FALSE(may_follow(build_bundle(edited_by_other, other.id()), one.id()));
    REQUIRE(may_follow(build_bundle(edited_by_other, one.id()), one.id()));
}

TEST_CASE_METHOD(bundle_fixture, "bundle_table_missing_or_inconsistent_is_rejected")
{
    const auto text = to_toml(first);
    REQUIRE(rejection_messages(text.substr(text.find("[[group]]"))) ==
            "there is no [bundle] table\n");
    REQUIRE(
        rejection_messages(replaced(text, "version = 1", "version = 2")).find("does not follow") !=
        std::string::npos);
    REQUIRE(
        rejection_messages(replaced(text, "version = 1", "version = -1")).find("out of range") !=
        std::string::npos);
    REQUIRE(rejection_messages(replaced(text, "\"none\"", "\"0:x\"")).find("VERSION:DIGEST") !=
            std::string::npos);
    REQUIRE(rejection_messages(replaced(text, "base =", "bass =")).find("unknown key 'bass'") !=
            std::string::npos);
}

TEST_CASE_METHOD(bundle_fixture, "bundle_id_text_round_trips_and_other_text_is_rejected")
{
    REQUIRE(parse_bundle_id(to_string(first.id())) == first.id());
    REQUIRE(parse_bundle_id("none") == bundle_id{});
    for (const auto* text :
         {"", "1", "1:", "1:abc", ":", "0:0123456789abcdef0123456789abcdef",
          "-1:0123456789abcdef0123456789abcdef", "1x:0123456789abcdef0123456789abcdef",
          "1:0123456789ABCDEF0123456789abcdef"}) {
        REQUIRE_THROWS_AS(parse_bundle_id(text), invalid_bundle_id);
    }
}
