#pragma once

#include "base/error.h"
#include "dispatch/target_entry.h"
#include "dispatch/traffic_config.h"
#include "relay/published_item.h"

#include <concepts>
#include <optional>
#include <string>

namespace trefoil {

/// Thrown when an item of the store cannot be decoded: malformed bytes, missing fields or fields of
/// the wrong type.
class invalid_item : public error {
public:
    explicit invalid_item(const std::string& detail) : error("published item: " + detail) {}
};

/// Decodes the items of one platform's store. Decoding functions throw invalid_item.
template<class Decoder>
concept item_decoder = requires(const Decoder d, const std::string& key, const published_item& item)
{
    /// Prefix of all keys to read.
    {
        d.prefix()
        } -> std::convertible_to<std::string>;
    /// Id of the target that the item describes; nullopt if it does not describe a target.
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
