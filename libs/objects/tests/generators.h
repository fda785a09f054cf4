#pragma once

#include "objects/check_objects.h"
#include "objects/object_set.h"

#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace trefoil_test {

inline std::string any_name(const char* prefix, std::size_t index)
{
    const auto suffix =
        *rc::gen::container<std::string>(rc::gen::elementOf(std::string("azAZ09_-.")));
    return prefix + std::to_string(index) + suffix.substr(0, 20);
}

inline double any_share()
{
    return static_cast<double>(*rc::gen::inRange<std::int64_t>(1, 1'000'000'000)) / 4.0;
}

template<class Object>
const Object& pick(const std::vector<Object>& objects)
{
    return objects[*rc::gen::inRange<std::size_t>(0, objects.size())];
}

/// Generates a set that passes check_objects. Calls lead only from earlier to later services, so
/// that the call graph has no cycle.
inline trefoil::object_set any_valid_set()
{
    using namespace trefoil;
    object_set set;
    const auto count = [](int max) { return *rc::gen::inRange<std::size_t>(1, max + 1); };
    for (std::size_t i = count(4); i > 0; --i) {
        set.groups.push_back({group_name(any_name("g", i)), any_share()});
    }
    for (std::size_t i = count(4); i > 0; --i) {
        const bool zero_share = *rc::gen::arbitrary<bool>();
        set.ranks.push_back(
            {rank_name(any_name("r", i)), static_cast<int>(i) * 7, zero_share ? 0.0 : any_share()});
    }
    for (std::size_t i = count(5); i > 0; --i) {
        set.services.push_back({service_name(any_name("s", i)),
                                *rc::gen::inRange<std::uint32_t>(1, 1000),
                                *rc::gen::inRange<std::uint32_t>(1, 1000)});
    }
    for (std::size_t i = count(5); i > 0; --i) {
        const auto repetition = *rc::gen::inRange(0, 3);
        set.kinds.push_back({kind_name(any_name("k", i)), pick(set.ranks).name,
                             pick(set.services).name, repetition == 1, repetition == 2,
                             std::chrono::milliseconds(*rc::gen::inRange(1, 30'001)),
                             *rc::gen::inRange<std::uint32_t>(0, 101)});
    }
    for (std::size_t from = 0; from < set.services.size(); ++from) {
        for (std::size_t to = from + 1; to < set.services.size(); ++to) {
            if (!*rc::gen::arbitrary<bool>()) {
                continue;
            }
            call_edge edge{set.services[from].name, set.services[to].name, {}};
            for (const auto& k : set.kinds) {
                if (k.entry == edge.from && *rc::gen::arbitrary<bool>()) {
                    edge.kinds.push_back(k.name);
                }
            }
            set.calls.push_back(edge);
        }
    }
    return set;
}

template<class Object>
void shuffle(std::vector<Object>& objects)
{
    for (std::size_t i = objects.size(); i > 1; --i) {
        std::swap(objects[i - 1], objects[*rc::gen::inRange<std::size_t>(0, i)]);
    }
}

/// Makes one to five random edits: removes, repeats, replaces or inserts bytes.
inline std::string mutate(std::string text)
{
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = std::min<std::size_t>(*rc::gen::inRange(1, 40), text.size() - at);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text.erase(at, length);
            break;
        case 1:
            text.insert(at, text.substr(at, length));
            break;
        case 2:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        default:
            text.insert(at, 1, *rc::gen::elementOf(std::string("[]{}\"'.,=#:\\\n\r-0e")));
        }
    }
    return text;
}

} // namespace trefoil_test
