#include "node/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace trefoil {

namespace {

constexpr std::array<std::string_view, 3> tables = {"node", "upstream", "platform"};
constexpr std::array<std::string_view, 10> node_keys = {
    "cluster",   "vm",           "availability_zone", "service",          "address",
    "call_port", "control_port", "call_threads",      "drain_timeout_ms", "control"};
constexpr std::array<std::string_view, 2> endpoint_keys = {"address", "port"};

template<class Keys>
void reject_unknown_keys(const toml::table& table, const Keys& known, const std::string& prefix)
{
    for (const auto& [key, value] : table) {
        if (std::ranges::find(known, key.str()) == known.end()) {
            throw invalid_settings(prefix + std::string(key.str()), "unknown key");
        }
    }
}

/// A table of the settings file; reads its keys and checks their types and ranges.
class section {
public:
    section(const toml::table& root, const char* name) : name_(name)
    {
        table_ = root[name].as_table();
        if (table_ == nullptr) {
            throw invalid_settings(name, "table is missing");
        }
    }

    const toml::table& table() const { return *table_; }
    std::string prefix() const { return std::string(name_) + "."; }

    std::string text(const char* key) const
    {
        const auto value = (*table_)[key].value<std::string>();
        if (!value || value->empty()) {
            throw invalid_settings(prefix() + key, "missing, empty or not a string");
        }
        return *value;
    }

    std::string text(const char* key, const std::string& fallback) const
    {
        return table_->contains(key) ? text(key) : fallback;
    }

    std::int64_t number(const char* key, std::int64_t lowest, std::int64_t highest) const
    {
        const auto value = (*table_)[key].value_exact<std::int64_t>();
        if (!value || *value < lowest || *value > highest) {
            throw invalid_settings(prefix() + key, "missing or not an integer from " +
                                                       std::to_string(lowest) + " to " +
                                                       std::to_string(highest));
        }
        return *value;
    }

    std::int64_t number(const char* key, std::int64_t lowest, std::int64_t highest,
                        std::int64_t fallback) const
    {
        return table_->contains(key) ? number(key, lowest, highest) : fallback;
    }

    std::uint16_t port(const char* key) const
    {
        return static_cast<std::uint16_t>(number(key, 1, 65535));
    }

    bool flag(const char* key, bool fallback) const
    {
        if (!table_->contains(key)) {
            return fallback;
        }
        const auto value = (*table_)[key].value_exact<bool>();
        if (!value) {
            throw invalid_settings(prefix() + key, "must be true or false");
        }
        return *value;
    }

private:
    const char* name_;
    const toml::table* table_ = nullptr;
};

toml::table parse_file(const std::string& file)
{
    try {
        return toml::parse_file(file);
    }
    catch (const toml::parse_error& e) {
        throw invalid_settings(file, std::string(e.description()));
    }
}

} // namespace

settings load_settings(const std::string& file)
{
    const auto root = parse_file(file);
    reject_unknown_keys(root, tables, "");
    const section node(root, "node");
    const section upstream(root, "upstream");
    const section platform(root, "platform");
    reject_unknown_keys(node.table(), node_keys, node.prefix());
    reject_unknown_keys(upstream.table(), endpoint_keys, upstream.prefix());
    reject_unknown_keys(platform.table(), endpoint_keys, platform.prefix());

    settings s;
    s.cluster = node.text("cluster", s.cluster);
    s.vm = vm_name(node.text("vm"));
    s.availability_zone = availability_zone_name(node.text("availability_zone"));
    s.service = service_name(node.text("service"));
    s.address = node.text("address", s.address);
    s.call_port = node.port("call_port");
    s.control_port = node.port("control_port");
    s.call_threads = static_cast<std::size_t>(node.number("call_threads", 1, 16, 2));
    s.drain_timeout =
        std::chrono::milliseconds(node.number("drain_timeout_ms", 0, 600'000, 30'000));
    s.control = node.flag("control", s.control);
    s.upstream_address = upstream.text("address", s.upstream_address);
    s.upstream_port = upstream.port("port");
    s.platform_address = platform.text("address", s.platform_address);
    s.platform_port = platform.port("port");
    if (s.call_port == s.control_port) {
        throw invalid_settings("node.control_port", "must differ from node.call_port");
    }
    return s;
}

} // namespace trefoil
