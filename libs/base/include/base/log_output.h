#pragma once

#include <memory>

namespace trefoil {

/// Writes the log of this process to a file descriptor, each line as soon as it is logged, so that
/// the lines of a killed process are not lost. Never waits for a slow reader: lines that it has no
/// room for are kept up to a limit; further ones are dropped, and a later line tells how many.
///
/// One object may exist at a time, after google::InitGoogleLogging. Log files and the output of
/// glog to the standard streams are off while it exists.
class log_output {
public:
    explicit log_output(int descriptor);

    /// Waits a short time for the reader if lines are kept.
    ~log_output();
    log_output(const log_output&) = delete;
    log_output& operator=(const log_output&) = delete;

private:
    class sink;
    std::unique_ptr<sink> sink_;
};

} // namespace trefoil
