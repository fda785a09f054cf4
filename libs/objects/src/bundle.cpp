#include "objects/bundle.h"

#include "base/hash.h"
#include "object_fields.h"
#include "objects/check_objects.h"
#include "table_reader.h"
#include "toml_text.h"
#include "value_ranges.h"

#include <utility>

namespace trefoil {

namespace {

std::string to_hex(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto it = text.rbegin(); it != text.rend(); ++it) {
        *it = digits[value & 0x0fU];
        value >>= 4U;
    }
    return text;
}

void append_table(std::string& text, const std::string& header,
                  const std::vector<object_field>& fields)
{
    text += (text.empty() ? "" : "\n") + header + '\n';
    for (const auto& field : fields) {
        text += field.name + " = " + field.value + '\n';
    }
}

std::string format_bundle(const bundle& b, const bundle_digest* digest)
{
    std::vector<object_field> fields{{"version", std::to_string(b.version.value)},
                                     {"base", toml_string(to_string(b.base))}};
    if (digest != nullptr) {
        fields.push_back({"digest", toml_string(digest->str())});
    }
    std::string text;
    append_table(text, "[bundle]", fields);
    for (const auto& object : canonical_objects(b.objects)) {
        append_table(text, "[[" + object.type + "]]", object.fields);
    }
    return text;
}

/// Concatenates two 64-bit hashes, with different seeds, of the text without the digest field.
bundle_digest compute_digest(const bundle& b)
{
    const auto text = format_bundle(b, nullptr);
    return bundle_digest(to_hex(hash64(text, 0)) + to_hex(hash64(text, 1)));
}

/// Reads the `[bundle]` table and returns its location.
object_location read_bundle_table(const toml::table& root, const std::string& file,
                                  load_result& loaded, bundle& b)
{
    const auto* table = root["bundle"].as_table();
    if (table == nullptr) {
        loaded.problems.push_back({file, 0, "bundle", "there is no [bundle] table",
                                   "use a file that was written by 'trefoilhold build'"});
        return {};
    }
    table_reader reader(*table, "bundle", file, loaded.problems);
    b.version.value = static_cast<std::uint64_t>(reader.read_integer("version", version_range));
    b.digest = bundle_digest(reader.read_string("digest"));
    const auto base = reader.read_string("base");
    auto location = reader.finish();
    try {
        if (!location.is_invalid("base")) {
            b.base = parse_bundle_id(base);
        }
    }
    catch (const invalid_bundle_id& e) {
        loaded.problems.push_back({file, location.line_of("base"), "bundle",
                                   std::string("field 'base': ") + e.what(),
                                   "build the bundle again with 'trefoilhold build'"});
    }
    return location;
}

/// Checks the version against the base and the digest against the content. Requires a bundle that
/// was read without errors.
void check_bundle_table(const bundle& b, const object_location& at, std::vector<problem>& problems)
{
    if (b.version.value != b.base.version.value + 1) {
        problems.push_back({at.file, at.line_of("version"), "bundle",
                            "version " + std::to_string(b.version.value) +
                                " does not follow base version " +
                                std::to_string(b.base.version.value),
                            "build the bundle again with 'trefoilhold build'"});
    }
    const auto digest = compute_digest(b);
    if (b.digest != digest) {
        problems.push_back(
            {at.file, at.line_of("digest"), "bundle",
             "the digest does not match the content, whose digest is " + digest.str(),
             "do not edit a bundle; edit the objects and build it again"});
    }
}

std::string summarize(const std::vector<problem>& problems)
{
    for (const auto& p : problems) {
        if (p.level == severity::error) {
            const auto others = problems.size() - 1;
            return "invalid bundle: " + describe(p) +
                   (others == 0 ? "" : " (and " + std::to_string(others) + " more)");
        }
    }
    return "invalid bundle";
}

} // namespace

invalid_bundle::invalid_bundle(std::vector<problem> problems)
    : error(summarize(problems)), problems_(std::move(problems))
{
}

bundle parse_bundle(std::string_view toml_text, const std::string& file)
{
    load_result loaded;
    bundle b;
    object_location location;
    if (const auto root = parse_toml(toml_text, file, loaded)) {
        location = read_bundle_table(*root, file, loaded, b);
        read_objects(*root, file, loaded);
    }
    auto problems = check_objects(loaded);
    b.objects = canonical_order(std::move(loaded.objects));
    if (!has_errors(problems)) {
        check_bundle_table(b, location, problems);
    }
    if (has_errors(problems)) {
        throw invalid_bundle(std::move(problems));
    }
    return b;
}

bundle build_bundle(object_set objects, const bundle_id& base)
{
    load_result loaded;
    loaded.objects = std::move(objects);
    auto problems = check_objects(loaded);
    bundle b;
    b.version.value = base.version.value + 1;
    b.base = base;
    b.objects = canonical_order(std::move(loaded.objects));
    b.digest = compute_digest(b);
    if (base.version.value >= static_cast<std::uint64_t>(version_range.max)) {
        problems.push_back({"set", 0, "bundle", "the version of the base is already the maximum",
                            "check that the base is the published bundle"});
    }
    if (const auto size = to_toml(b).size(); size > max_set_bytes) {
        problems.push_back({"set", 0, "bundle",
                            "the bundle has " + std::to_string(size) + " bytes, above " +
                                std::to_string(max_set_bytes),
                            "remove objects that are no longer used"});
    }
    if (has_errors(problems)) {
        throw invalid_bundle(std::move(problems));
    }
    return b;
}

std::string to_toml(const bundle& b)
{
    return format_bundle(b, &b.digest);
}

bool may_follow(const bundle& candidate, const bundle_id& current)
{
    return candidate.version > current.version &&
           (candidate.base.version != current.version || candidate.base == current);
}

} // namespace trefoil
