// The bytes that the connections of one event loop have carried.
#pragma once

#include <cstdint>

namespace samphirebridge::net
{

// Totals since the start of the process, without the headers of packets.
struct Traffic {
    uint64_t receivedBytes = 0;
    uint64_t sentBytes = 0; // As accepted by the kernel.
};

} // namespace samphirebridge::net
