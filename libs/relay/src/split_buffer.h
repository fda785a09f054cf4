#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace trefoil {

/// A stream for msgpack that leaves one large string out: collects what comes before and after it.
class split_buffer {
public:
    /// `left_out` is recognized by its address.
    explicit split_buffer(std::string_view left_out) : left_out_(left_out) {}

    void write(const char* bytes, std::size_t count)
    {
        if (bytes == left_out_.data() && count == left_out_.size() && count > 0) {
            is_split_ = true;
            return;
        }
        (is_split_ ? tail_ : head_).append(bytes, count);
    }

    /// Total number of bytes, with the string that is left out.
    std::size_t size() const noexcept
    {
        return head_.size() + tail_.size() + (is_split_ ? left_out_.size() : 0);
    }

    const std::string& head() const noexcept { return head_; }
    const std::string& tail() const noexcept { return tail_; }

private:
    std::string_view left_out_;
    std::string head_;
    std::string tail_;
    bool is_split_ = false;
};

} // namespace trefoil
