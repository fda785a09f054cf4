#pragma once

#include "base/names.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// Tuning parameters of flow_table.
struct flow_table_options {
    /// Time after the last update at which a fraction expires. Responses of an admitted flow arrive
    /// far more often than this, and a target recovers its fraction within seconds.
    std::chrono::nanoseconds lifetime = std::chrono::seconds(5);
    /// Time after the last update at which a fraction starts to rise, as the fraction of an idle
    /// flow does at the target. A refused flow gets few responses, so that its recovery at the
    /// target would otherwise not be detected.
    std::chrono::nanoseconds raise_after = std::chrono::milliseconds(200);
    /// Linear increase of a fraction per second after `raise_after`; the default is the rate of the
    /// target.
    double raise_per_second = 0.8;
    /// Exponential growth rate of a fraction per second after `raise_after`. Growth in proportion
    /// suits a low fraction, whose service is far from recovery while many callers raise their
    /// fractions at the same time.
    double growth_per_second = 0.0;
    /// Weight of a new value in the exponential smoothing, which is needed because the targets of a
    /// service report different fractions.
    double smoothing = 0.25;
    /// Maximum number of entries (service, kind, group). Further ones are not recorded.
    std::size_t capacity = 16384;
};

/// The fraction of each flow, a (kind, group) pair, that each called service currently admits, as
/// received in the response header `trefoil-admit`. Not thread-safe.
class flow_table {
public:
    /// Lower bound of recorded fractions. It is above 0 so that every flow can recover.
    static constexpr double fraction_floor = 0.01;

    explicit flow_table(flow_table_options options = {}) : options_(options) {}

    /// Records a received fraction, clamped to [fraction_floor, 1]. Ignores NaN.
    void record(const service_name& service, const kind_name& kind, const group_name& group,
                double fraction, mono_time now);

    /// Minimum fraction over the services of a path; 1 if none is known.
    double min_fraction(std::span<const service_name> path, const kind_name& kind,
                        const group_name& group, mono_time now) const;

    /// Removes expired entries. Lookups ignore them, so this only frees memory.
    void expire(mono_time now);

    /// Number of entries, including expired ones.
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
        mono_time updated;
    };

    bool is_expired(const service_fraction& entry, mono_time now) const noexcept;
    /// The fraction of the entry with its rise since the last update.
    double fraction_at(const service_fraction& entry, mono_time now) const noexcept;

    flow_table_options options_;
    std::unordered_map<flow, std::vector<service_fraction>, flow_hash, flow_equal> flows_;
    std::size_t size_ = 0;
};

} // namespace trefoil
