#pragma once

#include "spread/exchange_message.h"
#include "spread/invalid_message.h"
#include "spread/message_header.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

// Declared only: jsoncpp is slow to compile and few users of this library need it.
namespace Json { // NOLINT(readability-identifier-naming): the name is jsoncpp's.
class Value;
}

namespace trefoil {

// Every read function throws invalid_message.

/// Parses a text strictly: one JSON object and nothing after it, no comments, at most 32 levels.
void parse_json_object(std::string_view json, Json::Value& object);

/// Text of at most `largest` bytes.
std::string read_text(const Json::Value& object, const char* key, std::size_t largest);
std::uint64_t read_number(const Json::Value& object, const char* key,
                          std::uint64_t largest = UINT64_MAX);
bool read_flag(const Json::Value& object, const char* key);
const Json::Value& read_object(const Json::Value& object, const char* key);
/// Array of at most `largest` elements.
const Json::Value& read_array(const Json::Value& object, const char* key, std::size_t largest);

message_header read_header(const Json::Value& object);
void write_header(const message_header& header, Json::Value& object);

exchange_message read_exchange(const Json::Value& object);
void write_exchange(const exchange_message& message, Json::Value& object);

/// JSON text on one line.
std::string write_json(const Json::Value& value);

} // namespace trefoil
