#pragma once

#include "bamboostream/src/Gateway/document_transfer.h"
#include "bamboostream/src/Links/generated/wire_generated.h"

namespace bamboostream {

// Conversions between pieces of documents and the frames on the links.

wire::DocumentRequestT to_wire(const document_request& request);
document_request from_wire(const wire::DocumentRequestT& request);
wire::DocumentPieceT to_wire(const document_piece& piece);
document_piece from_wire(const wire::DocumentPieceT& piece);

} // namespace bamboostream
