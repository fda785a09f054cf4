#include "spread/message_json.h"

#include <json/json.h>

#include <memory>

namespace trefoil {

namespace {

const Json::Value& member(const Json::Value& object, const char* key)
{
    // operator[] throws for anything but an object or null.
    if (!object.isObject() || !object.isMember(key)) {
        throw invalid_message(std::string("field '") + key + "' missing");
    }
    return object[key];
}

[[noreturn]] void throw_invalid_field(const char* key, const char* expected)
{
    throw invalid_message(std::string("field '") + key + "' is not " + expected);
}

} // namespace

void parse_json_object(std::string_view json, Json::Value& object)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    // The parser is recursive: limiting the depth limits its stack usage.
    builder["stackLimit"] = 32;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    try {
        if (!reader->parse(json.data(), json.data() + json.size(), &object, &errors)) {
            throw invalid_message(errors);
        }
    }
    catch (const Json::Exception& e) {
        throw invalid_message(e.what());
    }
    if (!object.isObject()) {
        throw invalid_message("not an object");
    }
}

std::string read_text(const Json::Value& object, const char* key, std::size_t max_bytes)
{
    const auto& value = member(object, key);
    if (!value.isString()) {
        throw_invalid_field(key, "a text");
    }
    auto text = value.asString();
    if (text.size() > max_bytes) {
        throw_invalid_field(key, "within its largest size");
    }
    return text;
}

std::uint64_t read_number(const Json::Value& object, const char* key, std::uint64_t max_value)
{
    const auto& value = member(object, key);
    if (!value.isUInt64() || value.asUInt64() > max_value) {
        throw_invalid_field(key, "a number in its range");
    }
    return value.asUInt64();
}

bool read_flag(const Json::Value& object, const char* key)
{
    const auto& value = member(object, key);
    if (!value.isBool()) {
        throw_invalid_field(key, "true or false");
    }
    return value.asBool();
}

const Json::Value& read_object(const Json::Value& object, const char* key)
{
    const auto& value = member(object, key);
    if (!value.isObject()) {
        throw_invalid_field(key, "an object");
    }
    return value;
}

const Json::Value& read_array(const Json::Value& object, const char* key, std::size_t max_elements)
{
    const auto& value = member(object, key);
    if (!value.isArray() || value.size() > max_elements) {
        throw_invalid_field(key, "an array within its largest size");
    }
    return value;
}

message_header read_header(const Json::Value& object)
{
    return {read_text(object, "cluster", max_name_bytes),
            static_cast<std::uint32_t>(read_number(object, "protocol", UINT32_MAX)),
            vm_name(read_text(object, "from", max_name_bytes)), read_number(object, "incarnation"),
            read_number(object, "sequence")};
}

void write_header(const message_header& header, Json::Value& object)
{
    object["cluster"] = header.cluster;
    object["protocol"] = header.protocol;
    object["from"] = header.from.str();
    object["incarnation"] = Json::UInt64{header.incarnation};
    object["sequence"] = Json::UInt64{header.sequence};
}

std::string write_json(const Json::Value& value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

} // namespace trefoil
