#pragma once

#include <exception>
#include <string>
#include <utility>

namespace trefoil {

/// Base class of all exceptions thrown by trefoilhold. Each kind of failure has its own derived
/// type, so that handlers select by type and never parse the message.
class error : public std::exception {
public:
    /// Message for logs and operators.
    const char* what() const noexcept override { return message_.c_str(); }

protected:
    explicit error(std::string message) : message_(std::move(message)) {}

private:
    std::string message_;
};

} // namespace trefoil
