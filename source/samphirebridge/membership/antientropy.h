// Anti-entropy between two instances' targets: a summary of bucket checksums, then the versions in
// the buckets that differ, then the records themselves. Each answer is a step nearer to the end.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/membership/targetentry.h"

#include <optional>

namespace samphirebridge::membership
{

// The answer to a digest; each part is sent back to the digest's sender if it is set.
struct DigestAnswer {
    std::optional<proto::MembershipUpdate> update;
    std::optional<proto::MembershipDigest> digest;
};

// Returns the summary of the entries.
proto::MembershipDigest summarise(const core::InstanceId &self, const TargetEntries &entries);

// Answers a digest of any of the three steps.
DigestAnswer answerDigest(const core::InstanceId &self,
                          const TargetEntries &entries,
                          const proto::MembershipDigest &digest);

} // namespace samphirebridge::membership
