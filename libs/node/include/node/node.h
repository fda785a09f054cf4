#pragma once

#include "node/settings.h"

#include <memory>

namespace trefoil {

/// One node: the process beside an upstream VM.
class node {
public:
    /// Opens the call port and the control port. Throws if either is not free.
    explicit node(settings s);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Starts to serve.
    void start();

    /// Refuses new calls, tells peers, and waits for the requests in flight, at most for the drain
    /// timeout. Returns false if requests were still in flight then.
    bool drain();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
