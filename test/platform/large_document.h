#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace bamboostream::test {

/// Returns a configuration with `routes` routes, of the form that operators write. The same seed
/// gives the same routes, and documents that differ only in `routes` share their first ones.
std::string large_document_text(std::int64_t version, std::size_t routes, std::uint64_t seed);

} // namespace bamboostream::test
