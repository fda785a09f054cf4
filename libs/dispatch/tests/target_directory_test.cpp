#include "dispatch/target_directory.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

struct directory_fixture {
    mono_time now{1h};
    target_directory directory;

    static target_entry entry(const std::string& id, std::uint64_t start = 1)
    {
        target_entry e;
        e.id = {id, start};
        e.service = service_name("orders");
        e.address = "10.0.0.1";
        e.port = 80;
        return e;
    }

    bool has(const std::string& id) const { return directory.find(id) != nullptr; }
};

} // namespace

// Guards against losing targets that still serve because of an outage of the store.
TEST_CASE_METHOD(directory_fixture,
                 "target_directory_entry_expired_in_outage_is_kept_until_confirmed")
{
    directory.put(entry("back"));
    directory.put(entry("gone"));
    directory.on_store_unavailable();
    directory.replace_all({}, now);
    CHECK(has("back"));
    CHECK(has("gone"));
    directory.on_store_available(now);
    CHECK(directory.expire(now + 1s).empty());
    directory.put(entry("back"));
    CHECK(directory.expire(now + 3s) == std::vector<std::string>{"gone"});
    CHECK(has("back"));
}

// Guards against new requests to a target that was removed while the store was available.
TEST_CASE_METHOD(directory_fixture, "target_directory_removed_without_outage_is_dropped_at_once")
{
    directory.put(entry("one"));
    directory.remove("one", now);
    CHECK_FALSE(has("one"));
    CHECK(directory.targets(service_name("orders")).empty());
}

// Guards against a leaving target that is kept because of an outage.
TEST_CASE_METHOD(directory_fixture, "target_directory_leaving_target_expired_in_outage_is_dropped")
{
    auto leaving = entry("one");
    leaving.leaving = true;
    directory.put(leaving);
    directory.on_store_unavailable();
    directory.remove("one", now);
    CHECK_FALSE(has("one"));
}

// Guards against a write that the store applied late and that would undo a newer one.
TEST_CASE_METHOD(directory_fixture, "target_directory_older_entry_changes_nothing")
{
    auto leaving = entry("one", 2);
    leaving.update = 7;
    leaving.leaving = true;
    directory.put(leaving);
    auto late = entry("one", 2);
    late.update = 6;
    directory.put(late);
    directory.put(entry("one", 1));
    CHECK(directory.find("one")->entry.leaving);
    directory.put(entry("one", 3));
    CHECK_FALSE(directory.find("one")->entry.leaving);
}

// Guards against applying the failure statistics of a target to its next start.
TEST_CASE_METHOD(directory_fixture, "target_directory_new_start_resets_statistics")
{
    directory.put(entry("one", 1));
    directory.find("one")->failure_share = 1.0;
    directory.put(entry("one", 2));
    CHECK(directory.find("one")->failure_share == 0.0);
    CHECK(directory.targets(service_name("orders")).size() == 1);
}

// Guards against finding an earlier target at an address that another target uses now.
TEST_CASE_METHOD(directory_fixture, "target_directory_reused_address_finds_latest_start")
{
    directory.put(entry("old", 1));
    directory.put(entry("new", 2));
    CHECK(directory.at_address("10.0.0.1", 80)->entry.id.id == "new");
    CHECK(directory.at_address("10.0.0.1", 81) == nullptr);
}
