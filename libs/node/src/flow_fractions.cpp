#include "flow_fractions.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <span>

namespace trefoil {

namespace {

/// Fraction of a service in a header of the form `service=0.25,service=1`; 1 if it is not in there.
double fraction_in(std::string_view header, const service_name& service)
{
    while (!header.empty()) {
        const auto comma = header.find(',');
        const auto entry = header.substr(0, comma);
        const auto equals = entry.find('=');
        if (equals != std::string_view::npos && entry.substr(0, equals) == service.str()) {
            double value = 1.0;
            const auto text = entry.substr(equals + 1);
            std::from_chars(text.data(), text.data() + text.size(), value);
            return value;
        }
        header = comma == std::string_view::npos ? "" : header.substr(comma + 1);
    }
    return 1.0;
}

void append_fraction(std::string& header, const service_name& service, double fraction)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%.3f", fraction);
    if (!header.empty()) {
        header += ',';
    }
    header += service.str() + "=" + text.data();
}

} // namespace

void flow_fractions::record(const call& c, const service_name& service, std::string_view header)
{
    const auto reach = c.kind->reachable.find(service);
    if (reach == c.kind->reachable.end()) {
        return;
    }
    const std::lock_guard lock(mutex_);
    for (const auto& reached : reach->second) {
        table_.record(reached, c.context.kind, c.context.group, fraction_in(header, reached),
                      boot_clock::now());
    }
}

double flow_fractions::min_on_path(const call& c) const
{
    const std::lock_guard lock(mutex_);
    return table_.min_fraction(c.kind->path, c.context.kind, c.context.group, boot_clock::now());
}

std::string flow_fractions::header_for(const call& c, const service_name& own,
                                       double own_fraction) const
{
    std::string header;
    append_fraction(header, own, own_fraction);
    const auto reach = c.kind->reachable.find(own);
    if (reach == c.kind->reachable.end()) {
        return header;
    }
    const std::lock_guard lock(mutex_);
    for (const auto& reached : reach->second) {
        if (reached == own) {
            continue;
        }
        const auto fraction = table_.min_fraction(std::span(&reached, 1), c.context.kind,
                                                  c.context.group, boot_clock::now());
        if (fraction < 1.0) {
            append_fraction(header, reached, fraction);
        }
    }
    return header;
}

void flow_fractions::expire()
{
    const std::lock_guard lock(mutex_);
    table_.expire(boot_clock::now());
}

} // namespace trefoil
