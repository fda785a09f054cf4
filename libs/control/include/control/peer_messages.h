#pragma once

#include "base/names.h"
#include "base/versions.h"
#include "once/lease_messages.h"
#include "spread/content_digest.h"
#include "spread/message_header.h"

#include <string>

namespace trefoil {

struct fetch_config_request {
    message_header header;
    /// Version held by the sender.
    config_version held;
};

struct fetch_config_result {
    /// Version in force at the receiver; 0: none.
    config_version version;
    content_digest digest;
    /// The bundle's text; empty if the receiver holds nothing newer than `held`.
    std::string text;
};

struct fetch_list_request {
    message_header header;
    /// Revision held by the sender.
    list_revision held;
};

struct fetch_list_result {
    /// Revision in force at the receiver; 0: none.
    list_revision revision;
    content_digest digest;
    /// The list's JSON as published; empty if the receiver holds nothing newer than `held`.
    std::string text;
};

struct grant_lease_request {
    message_header header;
    service_name service;
    grant_request grant;
};

struct grant_lease_result {
    grant_result grant;
};

} // namespace trefoil
