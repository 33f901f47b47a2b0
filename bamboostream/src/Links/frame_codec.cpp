#include "bamboostream/src/Links/frame_codec.h"

#include "bamboostream/src/Links/generated/wire_generated.h"

namespace bamboostream {

std::string encode_frame(const wire::FrameT& frame) {
    flatbuffers::FlatBufferBuilder builder(256);
    builder.Finish(wire::Frame::Pack(builder, &frame));
    const std::uint32_t size = builder.GetSize();
    std::string out(sizeof(size) + size, '\0');
    for (std::size_t i = 0; i < sizeof(size); ++i) {
        out[i] = static_cast<char>(size >> (8 * i));
    }
    std::copy_n(reinterpret_cast<const char*>(builder.GetBufferPointer()), size,
                out.begin() + sizeof(size));
    return out;
}

std::uint32_t decode_length(std::span<const unsigned char, 4> head) {
    return static_cast<std::uint32_t>(head[0]) | static_cast<std::uint32_t>(head[1]) << 8 |
           static_cast<std::uint32_t>(head[2]) << 16 | static_cast<std::uint32_t>(head[3]) << 24;
}

std::unique_ptr<wire::FrameT> decode_frame(std::string_view bytes) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<wire::Frame>(nullptr)) {
        return nullptr;
    }
    return std::unique_ptr<wire::FrameT>(wire::GetFrame(data)->UnPack());
}

} // namespace bamboostream
