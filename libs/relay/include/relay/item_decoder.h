#pragma once

#include "base/error.h"
#include "dispatch/target_entry.h"
#include "dispatch/traffic_config.h"
#include "relay/published_item.h"

#include <concepts>
#include <optional>
#include <string>

namespace trefoil {

/// Thrown when an item of the store cannot be used: bytes that cannot be read, missing fields or
/// fields of another type.
class invalid_item : public error {
public:
    explicit invalid_item(const std::string& detail) : error("published item: " + detail) {}
};

/// Knows how a platform lays out what it publishes. Decoding throws invalid_item.
template<class Decoder>
concept item_decoder = requires(const Decoder d, const std::string& key, const published_item& item)
{
    /// Prefix of the keys to read.
    {
        d.prefix()
        } -> std::convertible_to<std::string>;
    /// The id of the target that the item describes; none if it describes none.
    {
        d.target_id(key)
        } -> std::same_as<std::optional<std::string>>;
    {
        d.target(item)
        } -> std::same_as<target_entry>;
    {
        d.is_config(key)
        } -> std::same_as<bool>;
    {
        d.config(item)
        } -> std::same_as<traffic_config>;
};

} // namespace trefoil
