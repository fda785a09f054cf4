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

// Every function that parses or reads throws invalid_message for malformed JSON, and for a field
// that is missing, of another type or beyond its bound.

/// Parses in strict mode: exactly one JSON object, no comments, at most 32 levels of nesting.
void parse_json_object(std::string_view json, Json::Value& object);

/// Reads a string of at most `max_bytes` bytes.
std::string read_text(const Json::Value& object, const char* key, std::size_t max_bytes);
std::uint64_t read_number(const Json::Value& object, const char* key,
                          std::uint64_t max_value = UINT64_MAX);
bool read_flag(const Json::Value& object, const char* key);
const Json::Value& read_object(const Json::Value& object, const char* key);
/// Reads an array of at most `max_elements` elements.
const Json::Value& read_array(const Json::Value& object, const char* key, std::size_t max_elements);

message_header read_header(const Json::Value& object);
void write_header(const message_header& header, Json::Value& object);

exchange_message read_exchange(const Json::Value& object);
void write_exchange(const exchange_message& message, Json::Value& object);

/// Serializes on one line.
std::string write_json(const Json::Value& value);

} // namespace trefoil
