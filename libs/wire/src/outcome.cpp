#include "wire/outcome.h"

namespace trefoil {

std::string_view to_string(outcome o) noexcept
{
    switch (o) {
    case outcome::complete:
        return "complete";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace trefoil
