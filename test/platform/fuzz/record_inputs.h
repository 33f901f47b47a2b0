#pragma once

#include <string_view>

namespace bamboostream::test {

/// Fuzz targets for the records of a platform's store. Each aborts the process if the codec accepts
/// what can't be used, or rejects an entry without a reason.
void fuzz_entry(std::string_view bytes);
/// A sound entry and a sound configuration in which some numbers are replaced by `bytes`.
void fuzz_entry_numbers(std::string_view bytes);
void fuzz_configuration(std::string_view bytes);

} // namespace bamboostream::test
