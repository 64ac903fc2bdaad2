// The recent changes that led to the declaration in force.
#pragma once

#include <ledger.pb.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

namespace samphirebridge::ledger
{

// Replicas may remember different changes: it is no part of the replicated state.
class DeclarationHistory
{
public:
    // Notes a change that was just applied, and what turned the content before it into its own.
    void add(uint64_t baseVersion, uint64_t version, proto::ContentDelta delta);

    // Forgets everything; the state was replaced.
    void clear();

    // Returns what turns the known version into the one in force, whose content is given: nothing
    // but the version when they are equal, the whole when the known version is not remembered or
    // its changes come to more.
    [[nodiscard]] proto::DeclarationChange
    since(uint64_t knownVersion, uint64_t version, std::string_view content) const;

private:
    struct Change {
        uint64_t baseVersion = 0;
        uint64_t version = 0;
        proto::ContentDelta delta;
        size_t bytes = 0;
    };

    // Without gaps: each change is based on the one before.
    std::deque<Change> changes;
    size_t totalBytes = 0;
};

} // namespace samphirebridge::ledger
