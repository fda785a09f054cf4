#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace trefoil {

/// Writes lines to a file descriptor without blocking. The descriptor may be shared with other
/// processes, so its flags are left as they are.
class line_writer {
public:
    explicit line_writer(int descriptor) : descriptor_(descriptor) {}

    /// Writes a line, or keeps it until a later call if the reader has no room for it.
    void write(std::string_view line);

    /// Writes kept lines; waits this long at most for the reader.
    void flush(std::chrono::milliseconds wait);

    /// Number of lines that were dropped.
    std::uint64_t dropped() const noexcept { return dropped_; }

private:
    bool is_writable(std::chrono::milliseconds wait) const;

    int descriptor_;
    std::string kept_;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_since_line_ = 0;
};

} // namespace trefoil
