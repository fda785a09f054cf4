#include "relay_call.h"

#include "http_text.h"

namespace trefoil {

relay_answer not_run_answer(std::chrono::milliseconds retry_after)
{
    const std::chrono::duration<double> seconds = retry_after;
    relay_answer answer;
    answer.status = 503;
    answer.headers = header_line("Retry-After", std::to_string(seconds.count()));
    return answer;
}

} // namespace trefoil
