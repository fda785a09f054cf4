#include "objects/bundle.h"
#include "objects/check_objects.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace trefoil;

struct samples_fixture {
    static load_result load(const std::string& deployment)
    {
        load_result result;
        const auto directory = std::filesystem::path(TREFOIL_SAMPLES) / deployment;
        for (const auto& entry : std::filesystem::directory_iterator(directory)) {
            std::ostringstream text;
            text << std::ifstream(entry.path()).rdbuf();
            load_objects(text.str(), entry.path().filename().string(), result);
        }
        return result;
    }

    static std::string problems_of(const load_result& loaded)
    {
        std::string text;
        for (const auto& p : check_objects(loaded)) {
            text += describe(p) + '\n';
        }
        return text;
    }

    static std::vector<std::string> path(const object_set& objects, const std::string& name)
    {
        std::vector<std::string> names;
        for (const auto& service : objects.path_of(*objects.find(kind_name(name)))) {
            names.push_back(service.str());
        }
        return names;
    }
};

// Guards against sample files that fail validation, or whose call chains differ from those in
// docs/design.md.
TEST_CASE_METHOD(samples_fixture, "samples_serra_gaucha_pass_checks_with_the_order_chain")
{
    const auto loaded = load("serra-gaucha");
    REQUIRE(problems_of(loaded).empty());
    REQUIRE(path(loaded.objects, "confirm_order") ==
            std::vector<std::string>{"pedidos", "bastidores", "tinturaria"});
    REQUIRE(path(loaded.objects, "reserve_time") == std::vector<std::string>{"bastidores"});
    REQUIRE(loaded.objects.find(service_name("tinturaria"))->slots == 20);
}

TEST_CASE_METHOD(samples_fixture, "samples_quillhaven_pass_checks_and_build_a_first_bundle")
{
    const auto loaded = load("quillhaven");
    REQUIRE(problems_of(loaded).empty());
    const auto built = build_bundle(loaded.objects, {});
    REQUIRE(built.version.value == 1);
    REQUIRE(parse_bundle(to_toml(built)) == built);
}
