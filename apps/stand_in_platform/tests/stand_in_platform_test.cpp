#include "stand_in_platform.h"

#include "control/platform_client.h"
#include "platform_mode.h"
#include "published_file.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

using namespace std::chrono_literals;
using namespace trefoil;

struct stand_in_platform_fixture {
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("trefoil-platform-" + std::to_string(getpid()));
    stand_in_platform_options options{.config_file = folder / "bundle.toml",
                                      .list_file = folder / "vms.json",
                                      .control_file = folder / "control"};

    stand_in_platform_fixture()
    {
        std::filesystem::create_directories(folder);
        publish(1);
        replace(options.list_file, R"({"revision":4,"vms":[]})");
    }

    ~stand_in_platform_fixture() { std::filesystem::remove_all(folder); }

    stand_in_platform_fixture(const stand_in_platform_fixture&) = delete;
    stand_in_platform_fixture& operator=(const stand_in_platform_fixture&) = delete;

    static void replace(const std::filesystem::path& path, const std::string& text)
    {
        const auto next = path.string() + ".next";
        std::ofstream(next) << text;
        std::filesystem::rename(next, path);
    }

    static std::string bundle(int version)
    {
        return "[bundle]\nversion = " + std::to_string(version) + "\n";
    }

    void publish(int version) const { replace(options.config_file, bundle(version)); }
    void set_mode(const std::string& text) const { replace(options.control_file, text); }

    static platform_client client_of(const stand_in_platform& platform)
    {
        return platform_client({.port = platform.port(), .timeout = 60s});
    }

    /// Repeats until the call throws this failure, passing over others from the change of mode; the
    /// time limit is that of the whole test.
    template<class Failure, class Call>
    static void wait_for_failure(Call call)
    {
        for (;;) {
            try {
                call();
            }
            catch (const Failure&) {
                return;
            }
            catch (const platform_call_failed&) {
            }
            std::this_thread::sleep_for(5ms);
        }
    }
};

// Guards against values that readers would not get whole, or would get again without a change.
TEST_CASE_METHOD(stand_in_platform_fixture, "platform_newer_values_are_answered_and_others_are_not")
{
    const stand_in_platform platform(options);
    auto client = client_of(platform);
    const auto config = client.watch_config({0}, 0ms);
    REQUIRE(config);
    REQUIRE(config->version == config_version{1});
    REQUIRE(config->text == bundle(1));
    REQUIRE_FALSE(client.watch_config({1}, 0ms));
    REQUIRE_FALSE(client.watch_config({1}, 30ms));
    const auto list = client.watch_list({3}, 0ms);
    REQUIRE(list);
    REQUIRE(list->revision == list_revision{4});
    REQUIRE_FALSE(client.watch_list({4}, 0ms));
    REQUIRE(platform.stats().calls == 5);
    REQUIRE(platform.stats().list_calls == 2);
}

// Guards against a watch that sleeps through a change, or counts as several calls.
TEST_CASE_METHOD(stand_in_platform_fixture,
                 "platform_waiting_watch_is_one_call_and_wakes_on_replacement")
{
    const stand_in_platform platform(options);
    auto client = client_of(platform);
    std::optional<platform_config> found;
    std::jthread watcher([&] { found = client.watch_config({1}, 60s); });
    while (platform.stats().waiting == 0) {
        std::this_thread::sleep_for(1ms);
    }
    publish(2);
    watcher.join();
    REQUIRE(found);
    REQUIRE(found->version == config_version{2});
    REQUIRE(platform.stats().calls == 1);
}

// Guards against a fault in the control file's modes, which other tests rely on.
TEST_CASE_METHOD(stand_in_platform_fixture, "platform_modes_give_typed_failures_and_end_again")
{
    const stand_in_platform platform(options);
    auto client = client_of(platform);
    const auto read = [&] { return client.watch_config({0}, 0ms); };
    set_mode("refuse");
    wait_for_failure<platform_refused>(read);
    set_mode("close");
    wait_for_failure<platform_unreachable>(read);
    set_mode("stale");
    std::optional<platform_config> stale;
    while (!stale) {
        try {
            stale = read();
        }
        catch (const platform_call_failed&) {
            std::this_thread::sleep_for(5ms);
        }
    }
    publish(2);
    REQUIRE_FALSE(client.watch_config({1}, 200ms));
    set_mode("slow 1");
    REQUIRE(client.watch_config({1}, 60s));
}

// Guards against a reader that exceeds the platform's share unnoticed.
TEST_CASE_METHOD(stand_in_platform_fixture, "platform_calls_beyond_the_rate_are_refused_with_429")
{
    options.calls_per_second = 0;
    const stand_in_platform platform(options);
    auto client = client_of(platform);
    try {
        client.watch_config({0}, 0ms);
        FAIL("not refused");
    }
    catch (const platform_refused& e) {
        REQUIRE(e.status() == 429);
    }
    REQUIRE(platform.stats().over_rate == 1);
}

// Guards against a half-written or wrong file that replaces a good value.
TEST_CASE_METHOD(stand_in_platform_fixture, "published_file_invalid_text_keeps_the_last_valid_one")
{
    published_file file(options.config_file, read_bundle_version);
    REQUIRE(file.refresh());
    REQUIRE_FALSE(file.refresh());
    for (const std::string text : {"[bundle", "[bundle]\nversion = -1\n", "version = 3\n", ""}) {
        replace(options.config_file, text);
        REQUIRE_FALSE(file.refresh());
        REQUIRE(file.version() == 1);
    }
    publish(2);
    REQUIRE(file.refresh());
    REQUIRE(file.text() == bundle(2));
}

// Guards against a crash on arbitrary files.
TEST_CASE_METHOD(stand_in_platform_fixture, "platform_parsers_arbitrary_bytes_give_a_typed_failure")
{
    REQUIRE(rc::check([](const std::string& text) {
        for (const auto& parse : {read_bundle_version, read_list_revision}) {
            try {
                parse(text);
                RC_FAIL("accepted");
            }
            catch (const error&) {
            }
        }
        try {
            parse_platform_mode(text);
        }
        catch (const invalid_platform_mode&) {
        }
    }));
}
