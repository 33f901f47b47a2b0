#pragma once

#include <string>
#include <utility>

namespace bamboostream {

/// Why an operation returned nothing. Every layer has its own `Code` enumeration and translates the
/// codes of the layer below into its own.
template <class Code> struct failure {
    Code code{};
    std::string text;

    void set(Code new_code, std::string new_text) {
        code = new_code;
        text = std::move(new_text);
    }
};

} // namespace bamboostream
