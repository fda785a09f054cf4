#include "stand_in_platform.h"

#include "control/control_server.h"
#include "control/peer_client.h"
#include "control/platform_client.h"
#include "control/rpc_server.h"
#include "spread/gossip_state.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <mutex>

using namespace std::chrono_literals;
using namespace trefoil;

/// The spread part of a node: its state, guard and control port, as the daemon joins them.
struct spread_node {
    std::string name;
    std::mutex mutex;
    gossip_state state{{vm_name(name), availability_zone_name("caxias")}, boot_clock::now()};
    message_guard guard{{.cluster = "serra"}};
    std::string text;
    std::uint64_t sequence = 0;
    rpc_server rpc{{.admit = [this](const message_header& header,
                                    std::size_t bytes) -> std::optional<rpc_refusal> {
                        const std::lock_guard lock(mutex);
                        const auto reason = guard.check(header, bytes);
                        return reason ? std::optional(rpc_refusal{*reason, {}}) : std::nullopt;
                    },
                    .malformed = [] {},
                    .exchange =
                        [this](const exchange_message& request) {
                            const std::lock_guard lock(mutex);
                            state.request_received(request, boot_clock::now());
                            return message();
                        },
                    .fetch_config =
                        [this](const fetch_config_request& request) {
                            const std::lock_guard lock(mutex);
                            const bool is_newer = state.config().in_force() > request.held;
                            return fetch_config_result{state.config().in_force(),
                                                       state.config().digest(),
                                                       is_newer ? text : ""};
                        }}};
    control_server server{{},
                          {.rpc = [this](const std::string& body) { return rpc.handle(body); }}};

    explicit spread_node(std::string own_name) : name(std::move(own_name)) {}

    message_header next_header()
    {
        return {"serra", protocol_version, vm_name(name), 1, ++sequence};
    }

    exchange_message message()
    {
        exchange_message described;
        described.header = next_header();
        state.fill_versions(described, boot_clock::now());
        return described;
    }
};

// Guards against a break in the whole way of a change: platform, watcher, exchange, fetch, digest
// and the refusal of a repeated message, with real sockets at each step.
TEST_CASE("change_at_the_platform_reaches_a_peer_that_cannot_read_the_platform")
{
    const auto folder =
        std::filesystem::temp_directory_path() / ("trefoil-spread-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    const std::string bundle = "[bundle]\nversion = 5\n";
    std::ofstream(folder / "bundle.toml") << bundle;
    const stand_in_platform platform({.config_file = folder / "bundle.toml"});
    platform_client reader({.port = platform.port(), .timeout = 60s});
    peer_client peers({.timeout = 60s});
    spread_node watcher("watcher");
    spread_node other("other");
    watcher.guard.set_members({vm_name("other")});
    const peer_endpoint watcher_port{"127.0.0.1", watcher.server.port()};

    const auto published = reader.watch_config({0}, 60s);
    REQUIRE(published);
    const auto digest = digest_of(published->text);
    // As after the wait of a starting node without peers.
    const auto later = boot_clock::now() + 6s;
    REQUIRE(watcher.state.offer_config(published->version, digest, digest, version_source::platform,
                                       later) == version_result::accepted);
    watcher.text = published->text;

    const auto request = other.message();
    const auto sent = boot_clock::now();
    const auto result = peers.exchange(watcher_port, request);
    REQUIRE(other.state.result_received(result, sent, boot_clock::now()).config);
    REQUIRE_THROWS_AS(peers.exchange(watcher_port, request), peer_refused);
    REQUIRE(watcher.guard.refused(message_refusal::replayed) == 1);

    const auto fetched = peers.fetch_config(watcher_port, {other.next_header(), {0}});
    REQUIRE(other.state.offer_config(fetched.version, fetched.digest, digest_of(fetched.text),
                                     version_source::peer,
                                     boot_clock::now()) == version_result::accepted);
    REQUIRE(fetched.text == bundle);
    std::filesystem::remove_all(folder);
}
