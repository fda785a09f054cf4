#pragma once

namespace trefoil {

/// Whether a status code is that of a final response in HTTP. Codes below 200 are interim
/// responses, and HTTP defines none from 600 on; parsers accept any three digits.
constexpr bool is_final_status(unsigned status)
{
    return status >= 200 && status < 600;
}

} // namespace trefoil
