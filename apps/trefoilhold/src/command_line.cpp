#include "command_line.h"

#include "tool_errors.h"

#include <getopt.h>

namespace trefoil {

namespace {

/// getopt_long reports an unknown option and a missing value by these keys.
constexpr int unknown_key = '?';
constexpr int missing_value_key = ':';
/// Key of the first option; the keys lie above all characters, which getopt_long also returns.
constexpr int first_key = 256;

} // namespace

command_line::command_line(const std::vector<std::string>& arguments,
                           const std::vector<option_spec>& options)
{
    std::vector<option> long_options;
    long_options.reserve(options.size() + 1);
    for (const auto& spec : options) {
        const int key = first_key + static_cast<int>(long_options.size());
        long_options.push_back({spec.name.c_str(),
                                spec.value_name.empty() ? no_argument : required_argument, nullptr,
                                key});
    }
    long_options.push_back({});

    // getopt_long reorders the array and skips its first element, the program name.
    auto words = arguments;
    words.insert(words.begin(), "trefoilhold");
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (auto& word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    const int argc = static_cast<int>(words.size());
    optind = 0; // Resets the state that GNU getopt keeps between calls.
    int key = 0;
    // The leading colon suppresses getopt's own error messages.
    while ((key = getopt_long(argc, argv.data(), ":", long_options.data(), nullptr)) != -1) {
        if (key == missing_value_key) {
            throw usage_error(std::string("option ") + argv[optind - 1] + " needs a value");
        }
        if (key == unknown_key) {
            throw usage_error(std::string("unknown option ") + argv[optind - 1]);
        }
        const auto& spec = options[static_cast<std::size_t>(key - first_key)];
        const std::string value = spec.value_name.empty() ? "" : optarg;
        if (!values_.emplace(spec.name, value).second) {
            throw usage_error("option --" + spec.name + " is given twice");
        }
    }
    operands_.assign(argv.begin() + optind, argv.begin() + argc);
}

const std::string& command_line::value(const std::string& option) const
{
    const auto it = values_.find(option);
    if (it == values_.end()) {
        throw usage_error("option --" + option + " is required");
    }
    return it->second;
}

} // namespace trefoil
