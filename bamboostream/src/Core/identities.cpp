#include "bamboostream/src/Core/identities.h"

#include <algorithm>

namespace bamboostream {

std::string printable(const software_version& version) {
    if (version.empty()) {
        return "unknown";
    }
    std::string out = version.text();
    std::replace_if(
        out.begin(), out.end(), [](char c) { return c <= ' ' || c > '~'; }, '_');
    return out;
}

} // namespace bamboostream
