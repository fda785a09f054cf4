#pragma once

#include "base/names.h"
#include "base/versions.h"
#include "spread/content_digest.h"
#include "spread/message_header.h"

#include <chrono>
#include <string>
#include <vector>

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
    list_revision revision;
    std::chrono::milliseconds duration{0};
};

/// A service's members under one list revision.
struct member_list {
    list_revision revision;
    std::vector<vm_name> members;

    friend bool operator==(const member_list&, const member_list&) = default;
};

struct grant_lease_result {
    bool granted = false;
    /// Revision in force at the receiver.
    list_revision revision;
    /// Every list of the service that the receiver held within the last 30 s.
    std::vector<member_list> lists;
};

} // namespace trefoil
