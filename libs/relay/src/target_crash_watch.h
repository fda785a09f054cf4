#pragma once

#include "crash_exchange.h"
#include "deadline_queue.h"

#include "call_io/asio.h"
#include "dispatch/target_crash_detector.h"

#include <utility>

namespace trefoil {

/// Finds out whether the local target crashed, by its entry and by connections to it, and reports
/// the requests that it was running.
class target_crash_watch {
public:
    target_crash_watch(asio::io_context& context, deadline_queue& deadlines, tcp::endpoint upstream,
                       crash_exchange& crashes)
        : context_(context), deadlines_(deadlines), upstream_(std::move(upstream)),
          crashes_(crashes)
    {
    }

    /// Records what happens to the requests of the target.
    target_crash_detector& detector() noexcept { return detector_; }

    /// Records that the target is present with this id. `sign` tells how that is known.
    void record_present(const target_id& id, bool leaving, const char* sign);

    /// Probes the target shortly after it closed a connection that had a request.
    void probe_after_close();

    /// Probes the target if it has requests but sends no answers. To be called periodically.
    void probe_if_silent();

private:
    void report(const char* sign, const target_crash_detector::request_fingerprints& running);
    /// Opens a connection to the target to find out whether it crashed or only closed a connection.
    void probe();
    void on_probe_result(boost::system::error_code error);

    asio::io_context& context_;
    deadline_queue& deadlines_;
    tcp::endpoint upstream_;
    crash_exchange& crashes_;
    target_crash_detector detector_;
    bool is_probe_pending_ = false;
};

} // namespace trefoil
