#pragma once

#include "base/error.h"
#include "base/versions.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace trefoil {

/// Base class of the exceptions that a call to the platform throws.
class platform_call_failed : public error {
protected:
    using error::error;
};

/// The connection failed, or the complete response did not arrive in time.
class platform_unreachable : public platform_call_failed {
public:
    explicit platform_unreachable(const std::string& detail);
};

/// The platform responded with a status other than 200 and 304.
class platform_refused : public platform_call_failed {
public:
    explicit platform_refused(std::uint16_t status);
    std::uint16_t status() const noexcept { return status_; }

private:
    std::uint16_t status_;
};

/// The response is too large, has no valid version or is not a valid VM list.
class invalid_platform_answer : public platform_call_failed {
public:
    explicit invalid_platform_answer(const std::string& detail);
};

/// A configuration bundle as published on the platform.
struct platform_config {
    config_version version;
    std::string text;
};

/// A VM list as published on the platform. The text is JSON in the format that parse_vm_list
/// reads.
struct platform_list {
    list_revision revision;
    std::string text;
};

struct platform_client_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    /// Time limit for the response, in addition to the time that a watch waits for a change.
    std::chrono::milliseconds timeout{1000};
    /// Maximum size of a value in bytes.
    std::size_t max_value_bytes = std::size_t{1024} * 1024;
};

/// Watches the values published on the platform. Each call blocks until the response arrives and
/// makes one HTTP request, which the platform counts as one call. Throws classes derived from
/// platform_call_failed. Thread-safe. Must not be used on the threads of the pool of
/// start_control_threads, because its calls block until those threads have processed the response.
class platform_client {
public:
    explicit platform_client(platform_client_options options);

    /// Waits up to `wait` for a bundle with a version above `after`. Returns nullopt if none was
    /// published.
    std::optional<platform_config> watch_config(config_version after,
                                                std::chrono::milliseconds wait);
    /// Waits up to `wait` for a list with a revision above `after`. Returns nullopt if none was
    /// published.
    std::optional<platform_list> watch_list(list_revision after, std::chrono::milliseconds wait);

private:
    platform_client_options options_;
};

} // namespace trefoil
