#pragma once

#include "base/error.h"
#include "exit_code.h"

#include <string>
#include <utility>

namespace trefoil {

/// Base class of the tool's errors, each with the exit status that it results in.
class tool_error : public error {
public:
    exit_code code() const noexcept { return code_; }

protected:
    tool_error(exit_code code, std::string message) : error(std::move(message)), code_(code) {}

private:
    exit_code code_;
};

/// The command line is invalid.
class usage_error : public tool_error {
public:
    explicit usage_error(std::string message) : tool_error(exit_code::usage, std::move(message)) {}
};

/// A file cannot be read or written.
class file_error : public tool_error {
public:
    file_error(const std::string& file, const std::string& detail)
        : tool_error(exit_code::file, file + ": " + detail)
    {
    }
};

/// The published bundle is not the one on which the operator's edits are based.
class stale_base : public tool_error {
public:
    stale_base(const std::string& expected, const std::string& found)
        : tool_error(exit_code::stale_base,
                     "the base is " + found + ", not " + expected +
                         "; compare with diff, merge the newer changes, and build again")
    {
    }
};

/// The output file exists already; it may be another operator's bundle of the same version.
class output_exists : public tool_error {
public:
    explicit output_exists(const std::string& file)
        : tool_error(exit_code::output_exists, file + " exists already and is never overwritten")
    {
    }
};

/// A node cannot be reached.
class node_unreachable : public tool_error {
public:
    node_unreachable(const std::string& node, const std::string& detail)
        : tool_error(exit_code::node, "node " + node + " cannot be reached: " + detail)
    {
    }
};

/// A node answered with an HTTP error status or a body that is not a JSON object.
class invalid_node_answer : public tool_error {
public:
    invalid_node_answer(const std::string& node, const std::string& detail)
        : tool_error(exit_code::node, "node " + node + " gave an invalid answer: " + detail)
    {
    }
};

/// The audit trail in a node's response has an unexpected format.
class invalid_audit_trail : public tool_error {
public:
    explicit invalid_audit_trail(const std::string& detail)
        : tool_error(exit_code::node, "invalid audit trail: " + detail)
    {
    }
};

} // namespace trefoil
