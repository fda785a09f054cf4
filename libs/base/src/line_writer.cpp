#include "line_writer.h"

#include <algorithm>
#include <cerrno>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace trefoil {

namespace {

/// Limit in bytes for lines that the reader has no room for; some seconds of log lines.
constexpr std::size_t max_kept_bytes = 64U << 10U;

} // namespace

bool line_writer::is_writable(std::chrono::milliseconds wait) const
{
    pollfd state{descriptor_, POLLOUT, 0};
    // An error other than a full pipe is reported by the write that follows.
    return poll(&state, 1, static_cast<int>(wait.count())) != 0;
}

void line_writer::write(std::string_view line)
{
    if (kept_.size() + line.size() > max_kept_bytes) {
        flush({});
    }
    if (kept_.size() + line.size() > max_kept_bytes) {
        ++dropped_;
        ++dropped_since_line_;
        return;
    }
    if (dropped_since_line_ > 0) {
        kept_ += "event=log_lines_dropped count=" + std::to_string(dropped_since_line_) + '\n';
        dropped_since_line_ = 0;
    }
    kept_ += line;
    flush({});
}

void line_writer::flush(std::chrono::milliseconds wait)
{
    std::size_t written = 0;
    while (written < kept_.size() && is_writable(wait)) {
        // A writable pipe takes this much without blocking.
        const auto size = std::min<std::size_t>(kept_.size() - written, PIPE_BUF);
        const auto count = ::write(descriptor_, kept_.data() + written, size);
        if (count > 0) {
            written += static_cast<std::size_t>(count);
            continue;
        }
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0 && errno != EAGAIN) {
            // The reader is gone for good, and there is no other place to report it.
            dropped_ += static_cast<std::uint64_t>(std::count(
                kept_.begin() + static_cast<std::ptrdiff_t>(written), kept_.end(), '\n'));
            written = kept_.size();
        }
        break;
    }
    kept_.erase(0, written);
}

} // namespace trefoil
