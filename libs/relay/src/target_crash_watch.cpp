#include "target_crash_watch.h"

#include "base/log_event.h"

#include <memory>
#include <string>

namespace trefoil {

namespace {

/// Delay between the first connection that the target closes and the probe whether it crashed. When
/// a process exits, its connections and its port close within a few milliseconds of each other.
constexpr std::chrono::milliseconds probe_delay{30};

/// Timeout of the probe. A target on the same machine accepts within a millisecond or not at all.
constexpr std::chrono::milliseconds probe_timeout{500};

} // namespace

void target_crash_watch::record_present(const target_id& id, bool leaving, const char* sign)
{
    report(sign, detector_.record_present(id, leaving, boot_clock::now()));
}

void target_crash_watch::probe_after_close()
{
    if (!std::exchange(is_probe_pending_, true)) {
        deadlines_.at(boot_clock::now() + probe_delay, [this] { probe(); });
    }
}

void target_crash_watch::probe_if_silent()
{
    if (detector_.should_probe(boot_clock::now()) && !std::exchange(is_probe_pending_, true)) {
        probe();
    }
}

void target_crash_watch::report(const char* sign,
                                const target_crash_detector::request_fingerprints& running)
{
    if (running.empty()) {
        return;
    }
    log_event("target_ended").add("sign", sign).add("running", running.size()).warning();
    crashes_.target_crashed(running);
}

void target_crash_watch::probe()
{
    const auto socket = std::make_shared<tcp::socket>(context_);
    deadlines_.at(boot_clock::now() + probe_timeout, [weak = std::weak_ptr(socket)] {
        if (const auto open = weak.lock()) {
            boost::system::error_code ignored; // Closing the socket ends the connect attempt.
            open->close(ignored);
        }
    });
    socket->async_connect(upstream_, [this, socket](auto error) { on_probe_result(error); });
}

void target_crash_watch::on_probe_result(boost::system::error_code error)
{
    is_probe_pending_ = false;
    log_event("target_checked")
        .add("result", error ? error.message() : std::string("accepts connections"))
        .info();
    if (error == asio::error::connection_refused) {
        report("refuses connections", detector_.record_terminated(boot_clock::now()));
    }
    else if (error == asio::error::operation_aborted || error == asio::error::timed_out) {
        report("connection attempt timed out", detector_.record_terminated(boot_clock::now()));
    }
    // Other errors, such as a lack of file descriptors, are faults of this node.
}

} // namespace trefoil
