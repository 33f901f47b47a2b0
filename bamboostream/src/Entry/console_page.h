#pragma once

#include <string_view>

namespace bamboostream {

/// Returns the HTML of the operator console, a single page of forms for editing the configuration.
/// Its only output is a configuration document that the instance has validated.
std::string_view console_page();

} // namespace bamboostream
