#include "run_record.h"

#include <json/json.h>

std::string run_record::to_json(const std::string& detailed) const
{
    Json::Value out;
    out["cancelled"] = Json::UInt64{cancelled_};
    for (const auto& [kind, roots] : runs_) {
        auto& entry = out["kinds"][kind];
        Json::UInt64 total = 0;
        Json::UInt64 repeated = 0;
        for (const auto& [root, count] : roots) {
            total += count;
            repeated += count > 1 ? 1U : 0U;
            if (kind == detailed) {
                entry["roots"][root] = count;
            }
        }
        entry["runs"] = total;
        entry["repeated"] = repeated;
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, out);
}
