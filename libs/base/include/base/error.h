#pragma once

#include <exception>
#include <string>
#include <utility>

namespace trefoil {

/// Base of every failure the project throws. Each failure has its own derived type, so that a
/// handler can select it without reading the text.
class error : public std::exception {
public:
    /// Text for logs and operators; callers select by type.
    const char* what() const noexcept override { return message_.c_str(); }

protected:
    explicit error(std::string message) : message_(std::move(message)) {}

private:
    std::string message_;
};

} // namespace trefoil
