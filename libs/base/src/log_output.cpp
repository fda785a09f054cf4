#include "base/log_output.h"

#include "line_writer.h"

#include <glog/logging.h>

#include <chrono>
#include <mutex>
#include <string>

namespace trefoil {

namespace {

/// Time that the destructor waits for a reader that has no room for the last lines.
constexpr std::chrono::milliseconds last_lines_wait{200};

} // namespace

class log_output::sink : public google::LogSink {
public:
    explicit sink(int descriptor) : writer_(descriptor)
    {
        for (auto severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity) {
            google::SetLogDestination(severity, ""); // Writes no log files.
        }
        FLAGS_logtostderr = false;
        FLAGS_stderrthreshold = google::NUM_SEVERITIES;
        google::AddLogSink(this);
    }

    ~sink() override
    {
        google::RemoveLogSink(this);
        writer_.flush(last_lines_wait);
    }

    sink(const sink&) = delete;
    sink& operator=(const sink&) = delete;

    void send(google::LogSeverity severity, const char* /*full_filename*/,
              const char* base_filename, int line, const google::LogMessageTime& time,
              const char* message, size_t message_len) override
    {
        const std::lock_guard lock(mutex_);
        writer_.write(ToString(severity, base_filename, line, time, message, message_len) + '\n');
    }

private:
    std::mutex mutex_;
    line_writer writer_;
};

log_output::log_output(int descriptor) : sink_(std::make_unique<sink>(descriptor)) {}

log_output::~log_output() = default;

} // namespace trefoil
