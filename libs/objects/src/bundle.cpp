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

std::string hex_text(std::uint64_t value)
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

std::string text_of(const bundle& b, const bundle_digest* digest)
{
    std::vector<object_field> head{{"version", std::to_string(b.version.value)},
                                   {"base", toml_string(to_string(b.base))}};
    if (digest != nullptr) {
        head.push_back({"digest", toml_string(digest->str())});
    }
    std::string text;
    append_table(text, "[bundle]", head);
    for (const auto& object : canonical_objects(b.objects)) {
        append_table(text, "[[" + object.type + "]]", object.fields);
    }
    return text;
}

/// Two 64-bit hashes with different seeds over the text without the digest itself.
bundle_digest digest_of(const bundle& b)
{
    const auto text = text_of(b, nullptr);
    return bundle_digest(hex_text(hash64(text, 0)) + hex_text(hash64(text, 1)));
}

/// Reads the `[bundle]` table; returns where it stands.
object_location read_head(const toml::table& root, const std::string& file, load_result& loaded,
                          bundle& b)
{
    const auto* table = root["bundle"].as_table();
    if (table == nullptr) {
        loaded.problems.push_back({file, 0, "bundle", "there is no [bundle] table",
                                   "use a file written by trefoilhold build"});
        return {};
    }
    table_reader reader(*table, "bundle", file, loaded.problems);
    b.version.value = static_cast<std::uint64_t>(reader.integer("version", version_range));
    b.digest = bundle_digest(reader.text("digest"));
    const auto base = reader.text("base");
    auto location = reader.finish();
    try {
        if (!location.faulty("base")) {
            b.base = parse_bundle_id(base);
        }
    }
    catch (const invalid_bundle_id& e) {
        loaded.problems.push_back({file, location.line_of("base"), "bundle",
                                   std::string("field 'base' is ") + e.what(),
                                   "build the bundle again with trefoilhold build"});
    }
    return location;
}

/// Checks what the head states about the rest; only meaningful once everything was read.
void check_head(const bundle& b, const object_location& at, std::vector<problem>& problems)
{
    if (b.version.value != b.base.version.value + 1) {
        problems.push_back({at.file, at.line_of("version"), "bundle",
                            "version " + std::to_string(b.version.value) +
                                " does not follow base version " +
                                std::to_string(b.base.version.value),
                            "build the bundle again with trefoilhold build"});
    }
    const auto digest = digest_of(b);
    if (b.digest != digest) {
        problems.push_back({at.file, at.line_of("digest"), "bundle",
                            "the digest does not match the content, which has " + digest.str(),
                            "do not edit a bundle; edit the objects and build it again"});
    }
}

std::string summary(const std::vector<problem>& problems)
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
    : error(summary(problems)), problems_(std::move(problems))
{
}

bundle parse_bundle(std::string_view toml_text, const std::string& file)
{
    load_result loaded;
    bundle b;
    object_location head;
    if (const auto root = parse_toml(toml_text, file, loaded)) {
        head = read_head(*root, file, loaded, b);
        read_objects(*root, file, loaded);
    }
    auto problems = check_objects(loaded);
    b.objects = canonical_order(std::move(loaded.objects));
    if (!has_errors(problems)) {
        check_head(b, head, problems);
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
    b.digest = digest_of(b);
    if (base.version.value >= static_cast<std::uint64_t>(version_range.max)) {
        problems.push_back({"set", 0, "bundle", "the version of the base is the highest possible",
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
    return text_of(b, &b.digest);
}

bool may_follow(const bundle& candidate, const bundle_id& in_force)
{
    return candidate.version > in_force.version &&
           (candidate.base.version != in_force.version || candidate.base == in_force);
}

} // namespace trefoil
