// The recent changes of the declaration and of the evacuations, kept to bring other instances up to
// date by deltas.
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
    // Adds the change that was just applied; the delta turns the content of the base revision into
    // that of the revision. Older changes that don't lead up to the base revision are dropped.
    void add(uint64_t baseRevision, uint64_t revision, proto::ContentDelta delta);

    // Removes all changes.
    void clear();

    // Returns the base and the deltas of the change from the known revision to the one in force,
    // whose content is given. Has no deltas if the known revision is not older, and one delta with
    // the whole content if the known revision is not remembered or the deltas since then are larger
    // than the whole.
    [[nodiscard]] proto::DeclarationChange
    changeSince(uint64_t knownRevision, uint64_t revision, std::string_view content) const;

private:
    struct Change {
        uint64_t baseRevision = 0;
        uint64_t revision = 0;
        proto::ContentDelta delta;
        size_t bytes = 0;
    };

    // Each change is based on the revision of the one before.
    std::deque<Change> changes;
    size_t totalBytes = 0; // Serialised size of the deltas in `changes`.
};

} // namespace samphirebridge::ledger
