// Assembles a leader's snapshot from the chunks that it sends.
#pragma once

#include "samphirebridge/consensus/raftsettings.h"

#include "consensus.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace samphirebridge::consensus
{

// Assembles one snapshot at a time. A chunk of another snapshot or from another sender discards the
// chunks so far.
class SnapshotAssembly
{
public:
    // Adds a chunk; ignores it unless it continues at receivedBytes(). Returns the snapshot with
    // its last chunk, and nothing before.
    std::optional<Snapshot> addChunk(const std::string &from, const proto::InstallSnapshot &chunk);
    // Returns the number of bytes received so far, which is the offset of the next chunk.
    [[nodiscard]] uint64_t receivedBytes() const;

private:
    [[nodiscard]] bool belongsToCurrent(const std::string &from,
                                        const proto::InstallSnapshot &chunk) const;

    std::string sender;
    proto::SnapshotMeta meta;
    std::string data;
};

} // namespace samphirebridge::consensus
