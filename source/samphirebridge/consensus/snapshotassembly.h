// Puts a leader's snapshot together from its chunks.
#pragma once

#include "samphirebridge/consensus/raftsettings.h"

#include "consensus.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace samphirebridge::consensus
{

// One snapshot at a time; a chunk of another one begins anew.
class SnapshotAssembly
{
public:
    // Takes a chunk. Returns the snapshot with the last one, and nothing before.
    std::optional<Snapshot> add(const std::string &from, const proto::InstallSnapshot &chunk);
    // The bytes received so far.
    [[nodiscard]] uint64_t offset() const;

private:
    [[nodiscard]] bool continues(const std::string &from,
                                 const proto::InstallSnapshot &chunk) const;

    std::string sender;
    proto::SnapshotMeta meta;
    std::string data;
};

} // namespace samphirebridge::consensus
