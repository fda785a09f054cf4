#pragma once

#include "periodic_thread.h"
#include "published_state.h"

#include "control/platform_client.h"

#include <memory>

namespace trefoil {

/// Watches the platform for published values while this node is one of the watchers, which are a
/// few nodes of the fleet.
class platform_watch {
public:
    platform_watch(const settings& s, published_state& published);

    void start();

private:
    std::chrono::nanoseconds step();
    void watch_both();
    void watch_config();
    void watch_list();

    published_state& published_;
    platform_client client_;
    random_source random_;
    bool list_next_ = true;
    std::unique_ptr<periodic_thread> thread_;
};

} // namespace trefoil
