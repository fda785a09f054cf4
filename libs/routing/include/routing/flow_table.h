#pragma once

#include "base/names.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

namespace trefoil {

struct flow_table_options {
    /// A fraction that no answer confirmed for this long no longer counts. Answers of an admitted
    /// flow arrive far more often, and a target recovers its fraction within seconds.
    std::chrono::nanoseconds lifetime = std::chrono::seconds(5);
    /// A fraction that no answer confirmed for this long rises, as that of an idle flow does at the
    /// target. A refused flow gets few answers, so that its recovery would go unnoticed.
    std::chrono::nanoseconds raise_after = std::chrono::milliseconds(200);
    /// Rise of an unconfirmed fraction in one second; the rate at the target.
    double raise_per_second = 0.8;
    /// Growth of an unconfirmed fraction in one second, as an exponent: a share that is far from 1
    /// belongs to a service far from recovered, and many callers raise theirs at the same time.
    double growth_per_second = 0.0;
    /// Weight of a new value, because the targets of one service report different fractions.
    double smoothing = 0.25;
    /// Bound on the entries (service, kind, group); further ones are not recorded.
    std::size_t capacity = 16384;
};

/// The share of each flow (kind and group) that each called service currently admits, as it comes
/// back in `trefoil-admit`. Not thread-safe.
class flow_table {
public:
    /// No flow is throttled below this, so that it can recover.
    static constexpr double smallest_fraction = 0.01;

    explicit flow_table(flow_table_options options = {}) : options_(options) {}

    /// Records a fraction, limited to [smallest_fraction, 1]. A value that is not a number is
    /// ignored.
    void record(const service_name& service, const kind_name& kind, const group_name& group,
                double fraction, mono_time now);

    /// The smallest fraction over the services of a path; 1 if none is known.
    double smallest(std::span<const service_name> path, const kind_name& kind,
                    const group_name& group, mono_time now) const;

    /// Removes what has expired. Lookups ignore expired entries, so this only frees memory.
    void expire(mono_time now);

    /// Number of entries, expired ones included.
    std::size_t size() const noexcept { return size_; }

private:
    struct flow {
        kind_name kind;
        group_name group;
    };
    struct flow_view {
        const kind_name& kind;
        const group_name& group;
    };
    struct flow_hash {
        using is_transparent = void;
        std::size_t operator()(const flow& f) const noexcept;
        std::size_t operator()(const flow_view& f) const noexcept;
    };
    struct flow_equal {
        using is_transparent = void;
        template<class Left, class Right>
        bool operator()(const Left& a, const Right& b) const noexcept
        {
            return a.kind == b.kind && a.group == b.group;
        }
    };
    struct service_fraction {
        service_name service;
        double fraction = 1.0;
        mono_time confirmed;
    };

    bool is_expired(const service_fraction& entry, mono_time now) const noexcept;
    /// The entry's fraction with the rise since its last confirmation.
    double fraction_at(const service_fraction& entry, mono_time now) const noexcept;

    flow_table_options options_;
    std::unordered_map<flow, std::vector<service_fraction>, flow_hash, flow_equal> flows_;
    std::size_t size_ = 0;
};

} // namespace trefoil
