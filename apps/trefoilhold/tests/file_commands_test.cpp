#include "new_file.h"
#include "objects/bundle.h"
#include "tool_errors.h"
#include "tool_fixture.h"

#include <catch2/catch.hpp>
#include <cpprest/json.h>

#include <algorithm>
#include <thread>

using namespace trefoil;

struct file_commands_fixture : trefoil_test::tool_fixture {
    file_commands_fixture()
    {
        for (const auto& entry :
             std::filesystem::directory_iterator(TREFOIL_SAMPLES "/quillhaven")) {
            std::filesystem::copy_file(entry.path(), folder / entry.path().filename());
        }
        REQUIRE(run(with_files({"build", "--base", "none", "--out", file("one")})) == 0);
    }

    std::vector<std::string> with_files(std::vector<std::string> arguments) const
    {
        for (const auto* name : {"groups", "kinds", "ranks", "services"}) {
            arguments.push_back(file(std::string(name) + ".toml"));
        }
        return arguments;
    }

    void set_slots(const std::string& slots) const
    {
        auto text = read(file("services.toml"));
        text.replace(text.find("slots = ") + 8, 2, slots);
        std::ofstream(file("services.toml")) << text;
    }

    bundle built(const std::string& name) const { return parse_bundle(read(file(name))); }
};

TEST_CASE_METHOD(file_commands_fixture, "check_of_faulty_file_reports_its_line_and_status_1")
{
    REQUIRE(run(with_files({"check"})) == 0);
    REQUIRE(err.empty());
    set_slots("-1");
    REQUIRE(run(with_files({"check"})) == 1);
    REQUIRE(out.empty());
    REQUIRE(err.find("services.toml:5: error: service catalogue: ") != std::string::npos);
    REQUIRE(run(with_files({"check", "--json"})) == 1);
    const auto json = web::json::value::parse(out);
    REQUIRE_FALSE(json.at("ok").as_bool());
    REQUIRE(json.at("problems").at(0).at("line").as_integer() == 5);
}

TEST_CASE_METHOD(file_commands_fixture, "diff_of_changed_and_unchanged_sets_has_status_7_and_0")
{
    REQUIRE(run(with_files({"diff", file("one")})) == 0);
    REQUIRE(out.empty());
    set_slots("60");
    REQUIRE(run(with_files({"diff", file("one")})) == 7);
    REQUIRE(out == "changed service catalogue: slots 55 -> 60\n");
    REQUIRE(run(with_files({"diff", "--json", file("one")})) == 7);
    const auto json = web::json::value::parse(out);
    REQUIRE(json.at("changes").at(0).at("fields").at(0).at("after").as_string() == "60");
}

// Guards against two operators who both edit the same base and both publish, so that one set of
// changes is overwritten.
TEST_CASE_METHOD(file_commands_fixture, "build_by_two_operators_from_one_base_only_one_may_follow")
{
    const auto base = to_string(built("one").id());
    set_slots("60");
    REQUIRE(run(with_files({"build", "--base", file("one"), "--expect-base", base, "--out",
                            file("two")})) == 0);
    set_slots("70");
    REQUIRE(run(with_files({"build", "--base", file("one"), "--out", file("two")})) == 5);
    REQUIRE(built("two").objects.services[0].slots == 60);
    REQUIRE(run(with_files({"build", "--base", file("one"), "--out", file("other")})) == 0);
    REQUIRE_FALSE(may_follow(built("other"), built("two").id()));
    const auto published = to_string(built("two").id());
    REQUIRE(run(with_files({"build", "--base", file("one"), "--expect-base", published, "--out",
                            file("three")})) == 4);
    REQUIRE(err.find(published) != std::string::npos);
    REQUIRE_FALSE(std::filesystem::exists(file("three")));
}

// Guards against an overwritten bundle when two operators write the same file concurrently.
TEST_CASE_METHOD(file_commands_fixture, "write_new_file_by_several_threads_succeeds_exactly_once")
{
    std::vector<std::string> written(8);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < written.size(); ++i) {
        threads.emplace_back([&, i] {
            const auto content = std::string(100'000, static_cast<char>('a' + i));
            try {
                write_new_file(file("new"), content);
                written[i] = content;
            }
            catch (const output_exists&) {
                written[i].clear();
            }
        });
    }
    std::ranges::for_each(threads, [](auto& thread) { thread.join(); });
    REQUIRE(std::ranges::count(written, std::string()) == 7);
    REQUIRE(std::ranges::find(written, read(file("new"))) != written.end());
    const auto files = std::filesystem::directory_iterator(folder);
    REQUIRE(std::ranges::count_if(files, [](const auto& entry) {
                return entry.path().filename().string().starts_with("new");
            }) == 1);
}

TEST_CASE_METHOD(file_commands_fixture, "build_of_older_objects_rolls_back_under_a_newer_version")
{
    set_slots("60");
    REQUIRE(run(with_files({"build", "--base", file("one"), "--out", file("two")})) == 0);
    REQUIRE(run({"build", "--base", file("two"), "--out", file("three"), file("one")}) == 0);
    REQUIRE(built("three").objects == built("one").objects);
    REQUIRE(built("three").version.value == 3);
    REQUIRE(may_follow(built("three"), built("two").id()));
}

TEST_CASE_METHOD(file_commands_fixture, "build_from_damaged_base_is_refused_with_status_1")
{
    auto text = read(file("one"));
    text.replace(text.find("slots = 5"), 9, "slots = 6");
    std::ofstream(file("damaged")) << text;
    REQUIRE(run(with_files({"build", "--base", file("damaged"), "--out", file("two")})) == 1);
    REQUIRE(err.find("digest") != std::string::npos);
    REQUIRE_FALSE(std::filesystem::exists(file("two")));
}

TEST_CASE_METHOD(file_commands_fixture, "tool_with_wrong_command_line_or_file_has_status_2_or_3")
{
    REQUIRE(run({}) == 2);
    REQUIRE(run({"publish"}) == 2);
    REQUIRE(run({"check"}) == 2);
    REQUIRE(run({"check", "--colour", file("one")}) == 2);
    REQUIRE(run({"build", "--out"}) == 2);
    REQUIRE(run({"build", "--base", "none", file("one")}) == 2);
    REQUIRE(run({"build", "--base", "none", "--out", file("x"), "--out", file("y"), file("one")}) ==
            2);
    REQUIRE(run(with_files({"build", "--base", file("one"), "--expect-base", "1:x", "--out",
                            file("x")})) == 2);
    REQUIRE(run({"check", file("missing")}) == 3);
    REQUIRE(run({"check", folder.string()}) == 3);
    REQUIRE(run(with_files({"build", "--base", "none", "--out", file("no/such/folder")})) == 3);
    REQUIRE(out.empty());
}

TEST_CASE_METHOD(file_commands_fixture, "tool_help_of_each_command_names_it_and_the_exit_codes")
{
    REQUIRE(run({"--help"}) == 0);
    for (const auto* name : {"check", "diff", "build", "status", "fleet", "audit"}) {
        REQUIRE(run({name, "--help"}) == 0);
        REQUIRE(out.find(std::string("usage: trefoilhold ") + name) == 0);
        REQUIRE(out.find("Exit status:") != std::string::npos);
        REQUIRE(err.empty());
    }
}
