#pragma once

#include "base/names.h"
#include "base/versions.h"
#include "once/lease_messages.h"
#include "spread/content_digest.h"
#include "spread/message_header.h"

#include <string>

namespace trefoil {

/// Requests the configuration bundle if the receiver has a newer one than the sender.
struct fetch_config_request {
    message_header header;
    /// Version that the sender has.
    config_version held;
};

/// Result of `fetch_config`.
struct fetch_config_result {
    /// Current version of the receiver; 0 if it has none.
    config_version version;
    content_digest digest;
    /// TOML text of the bundle. Empty if the receiver has no newer version than `held`.
    std::string text;
};

/// Requests the VM list if the receiver has a newer one than the sender.
struct fetch_list_request {
    message_header header;
    /// Revision that the sender has.
    list_revision held;
};

/// Result of `fetch_list`.
struct fetch_list_result {
    /// Current revision of the receiver; 0 if it has none.
    list_revision revision;
    content_digest digest;
    /// JSON text of the list as published. Empty if the receiver has no newer revision than `held`.
    std::string text;
};

/// Asks the receiver to confirm the sender's member list of a service for the duration of a lease.
struct grant_lease_request {
    message_header header;
    service_name service;
    grant_request grant;
};

/// Result of `grant_lease`.
struct grant_lease_result {
    grant_result grant;
};

} // namespace trefoil
