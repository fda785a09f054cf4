#pragma once

#include "node/settings.h"

#include <memory>

namespace trefoil {

/// The node process that runs beside an upstream VM.
class node {
public:
    /// Binds the call port and the control port. Throws if either is in use.
    explicit node(settings s);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Starts serving calls, exchanging state with peers and watching the platform.
    void start();

    /// Refuses new calls, notifies peers, and waits for the requests in flight, at most for the
    /// drain timeout. Returns false if requests were still in flight when it expired.
    bool drain();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
