#include "bamboostream/src/Gateway/document_frames.h"

namespace bamboostream {

wire::DocumentRequestT to_wire(const document_request& request) {
    wire::DocumentRequestT out;
    out.held_version = request.held_version;
    out.held_digest = request.held_digest;
    out.encoding = request.encoding;
    out.offset = request.offset;
    return out;
}

document_request from_wire(const wire::DocumentRequestT& request) {
    return {request.held_version, request.held_digest, request.encoding, request.offset};
}

wire::DocumentPieceT to_wire(const document_piece& piece) {
    wire::DocumentPieceT out;
    out.version = piece.version;
    out.digest = piece.digest;
    out.base_digest = piece.base_digest;
    out.document_bytes = piece.document_bytes;
    out.encoding = piece.encoding;
    out.encoded_bytes = piece.encoded_bytes;
    out.offset = piece.offset;
    out.bytes.assign(piece.bytes.begin(), piece.bytes.end());
    out.busy = piece.kind == piece_kind::busy;
    out.holders = piece.holders;
    return out;
}

document_piece from_wire(const wire::DocumentPieceT& piece) {
    document_piece out;
    out.kind = !piece.bytes.empty() ? piece_kind::bytes
               : piece.busy         ? piece_kind::busy
                                    : piece_kind::nothing_newer;
    out.version = piece.version;
    out.digest = piece.digest;
    out.base_digest = piece.base_digest;
    out.document_bytes = piece.document_bytes;
    out.encoding = piece.encoding;
    out.encoded_bytes = piece.encoded_bytes;
    out.offset = piece.offset;
    out.bytes.assign(piece.bytes.begin(), piece.bytes.end());
    out.holders = piece.holders;
    return out;
}

} // namespace bamboostream
