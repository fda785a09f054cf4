#pragma once

#include "base/error.h"
#include "base/versions.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace trefoil {

/// Base of the failures of a platform call.
class platform_call_failed : public error {
protected:
    using error::error;
};

/// No connection, or no whole answer in time.
class platform_unreachable : public platform_call_failed {
public:
    explicit platform_unreachable(const std::string& detail);
};

/// The platform answered with a status other than 200 and 304.
class platform_refused : public platform_call_failed {
public:
    explicit platform_refused(std::uint16_t status);
    std::uint16_t status() const noexcept { return status_; }

private:
    std::uint16_t status_;
};

/// The answer is too large or lacks its version.
class invalid_platform_answer : public platform_call_failed {
public:
    explicit invalid_platform_answer(const std::string& detail);
};

/// The bundle as published.
struct platform_config {
    config_version version;
    std::string text;
};

/// The VM list as published: JSON for parse_vm_list.
struct platform_list {
    list_revision revision;
    std::string text;
};

struct platform_client_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    /// Time beyond the wait of a watch in which the platform must answer.
    std::chrono::milliseconds timeout{1000};
    /// Largest value in bytes.
    std::size_t largest_value = std::size_t{1024} * 1024;
};

/// Reads and watches the platform. Each call waits for its answer and counts as one call at the
/// platform. Throws classes derived from platform_call_failed. Thread-safe; not to be used on the
/// threads of the control pool.
class platform_client {
public:
    explicit platform_client(platform_client_options options);

    /// Waits up to `wait` for a bundle with a version above `after`; empty: there is none.
    std::optional<platform_config> watch_config(config_version after,
                                                std::chrono::milliseconds wait);
    /// Waits up to `wait` for a list with a revision above `after`; empty: there is none.
    std::optional<platform_list> watch_list(list_revision after, std::chrono::milliseconds wait);

private:
    platform_client_options options_;
};

} // namespace trefoil
