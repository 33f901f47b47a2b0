#include "standins/packet_filter.h"

#include <arpa/inet.h>
#include <cstddef>
#include <linux/filter.h>
#include <sys/socket.h>

namespace bamboostream::standins {

namespace {

constexpr std::uint32_t source_address_offset = 12;
/// The byte with the TCP flags, behind an IPv4 header without options.
constexpr std::uint32_t flags_offset = 20 + 13;
constexpr std::uint32_t flags_syn_and_ack = 0x12;
constexpr std::uint32_t flag_syn = 0x02;
constexpr std::uint32_t accept_all = 0xffffffff;

std::uint32_t network_offset(std::uint32_t offset) {
    return static_cast<std::uint32_t>(SKF_NET_OFF) + offset;
}

sock_filter statement(unsigned code, std::uint32_t value) {
    return {static_cast<std::uint16_t>(code), 0, 0, value};
}

sock_filter jump_if_equal(std::uint32_t value, std::size_t if_true, std::size_t if_false) {
    return {static_cast<std::uint16_t>(BPF_JMP | BPF_JEQ | BPF_K),
            static_cast<std::uint8_t>(if_true), static_cast<std::uint8_t>(if_false), value};
}

} // namespace

bool discard_packets(int socket, const std::vector<std::string>& sources, discarded_packets which) {
    std::vector<sock_filter> program;
    if (which == discarded_packets::connection_requests) {
        program.push_back(statement(BPF_LD | BPF_B | BPF_ABS, network_offset(flags_offset)));
        program.push_back(statement(BPF_ALU | BPF_AND | BPF_K, flags_syn_and_ack));
        program.push_back(jump_if_equal(flag_syn, 1, 0));
        program.push_back(statement(BPF_RET | BPF_K, accept_all));
    }
    program.push_back(statement(BPF_LD | BPF_W | BPF_ABS, network_offset(source_address_offset)));
    for (std::size_t i = 0; i < sources.size(); ++i) {
        in_addr address{};
        if (inet_pton(AF_INET, sources[i].c_str(), &address) != 1) {
            return false;
        }
        // The instruction to discard follows the one that accepts.
        program.push_back(jump_if_equal(ntohl(address.s_addr), sources.size() - i, 0));
    }
    program.push_back(statement(BPF_RET | BPF_K, accept_all));
    program.push_back(statement(BPF_RET | BPF_K, 0));
    const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
    return setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) == 0;
}

} // namespace bamboostream::standins
