// The recent changes of the declaration, kept to bring other instances up to date by deltas.
#pragma once

#include <ledger.pb.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

namespace samphirebridge::ledger
{

// Not part of the replicated state: a replica that was restored from a snapshot has fewer changes.
class DeclarationHistory
{
public:
    // Adds the change that was just applied; the delta turns the content of the base version into
    // that of the version. Older changes that don't lead up to the base version are dropped.
    void add(uint64_t baseVersion, uint64_t version, proto::ContentDelta delta);

    // Removes all changes.
    void clear();

    // Returns the change from the known version to the one in force, whose version and content are
    // given. Has no deltas if the known version is not older, and one delta with the whole content
    // if the known version is not remembered or the deltas since then are larger than the whole.
    [[nodiscard]] proto::DeclarationChange
    changeSince(uint64_t knownVersion, uint64_t version, std::string_view content) const;

private:
    struct Change {
        uint64_t baseVersion = 0;
        uint64_t version = 0;
        proto::ContentDelta delta;
        size_t bytes = 0;
    };

    // Each change is based on the version of the one before.
    std::deque<Change> changes;
    size_t totalBytes = 0; // Serialised size of the deltas in `changes`.
};

} // namespace samphirebridge::ledger
