// The revision by which the declaration and the evacuations are propagated together.
#pragma once

#include <cstdint>

namespace samphirebridge::ledger
{

// Returns the revision that a message with the fields `version` and `revision` names. A message of
// a release without evacuations has no revision, which then equals the version.
template <typename Message>
uint64_t revisionOf(const Message &message)
{
    return message.revision() != 0 ? message.revision() : message.version();
}

// Sets the revision of a message whose version is set.
template <typename Message>
void setRevision(Message &message, uint64_t revision)
{
    // A revision that equals the version is left out, so that snapshots and messages of a fleet
    // without evacuations do not change.
    message.set_revision(revision == message.version() ? 0 : revision);
}

} // namespace samphirebridge::ledger
