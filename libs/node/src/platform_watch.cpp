#include "platform_watch.h"

#include "base/log_event.h"

#include <algorithm>
#include <future>

namespace trefoil {

namespace {

/// Max wait of one watch call. It bounds how long a shutdown waits for the call; with 18 watchers
/// and two watches each, it causes 18 calls a second.
constexpr std::chrono::milliseconds watch_wait{2000};
constexpr std::chrono::milliseconds max_idle{1000};

platform_client_options client_options(const settings& s)
{
    platform_client_options options;
    options.address = s.platform_address;
    options.port = s.platform_port;
    return options;
}

} // namespace

platform_watch::platform_watch(const settings& s, published_state& published)
    : published_(published), client_(client_options(s)), random_(std::random_device{}())
{
}

void platform_watch::start()
{
    thread_ = std::make_unique<periodic_thread>([this] { return step(); });
}

std::chrono::nanoseconds platform_watch::step()
{
    const auto round = published_.with_spread([this](gossip_state& gossip) {
        return gossip.watcher().next_round(boot_clock::now(), random_);
    });
    if (!round) {
        return max_idle;
    }
    const auto wait = round->at - boot_clock::now();
    if (wait > wait.zero()) {
        return std::min<std::chrono::nanoseconds>(wait, max_idle);
    }
    try {
        if (round->both) {
            watch_both();
        }
        else if (list_next_ = !list_next_; list_next_) {
            watch_list();
        }
        else {
            watch_config();
        }
        published_.with_spread(
            [](gossip_state& gossip) { gossip.watcher().call_answered(boot_clock::now()); });
    }
    catch (const platform_call_failed& e) {
        log_event("platform_call_failed").add("detail", e.what()).info();
        published_.with_spread([this](gossip_state& gossip) {
            gossip.watcher().call_failed(boot_clock::now(), random_);
        });
    }
    return std::chrono::nanoseconds::zero();
}

void platform_watch::watch_both()
{
    auto config = std::async(std::launch::async, [this] { watch_config(); });
    watch_list();
    config.get();
}

void platform_watch::watch_config()
{
    if (const auto config = client_.watch_config(published_.watch_config_after(), watch_wait)) {
        published_.offer_config(config->version, std::nullopt, config->text,
                                version_source::platform);
    }
}

void platform_watch::watch_list()
{
    if (const auto list = client_.watch_list(published_.watch_list_after(), watch_wait)) {
        published_.offer_list(list->revision, std::nullopt, list->text, version_source::platform);
    }
}

} // namespace trefoil
