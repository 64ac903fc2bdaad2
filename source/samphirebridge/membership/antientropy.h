// Anti-entropy between the target records of two instances. The exchange has three steps: a summary
// with a checksum per bucket, the versions in the buckets that differ, and the records themselves.
// It ends after the records, since an update is not answered.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/membership/targetentry.h"

#include <optional>

namespace samphirebridge::membership
{

// The answer to a digest. Each part that is set is sent to the digest's sender.
struct DigestAnswer {
    std::optional<proto::MembershipUpdate> update;
    std::optional<proto::MembershipDigest> digest;
};

// Builds the digest of the first step, with a checksum per bucket.
proto::MembershipDigest summariseTargets(const core::InstanceId &self,
                                         const TargetEntries &entries);

// Answers a digest: a summary, a list of versions or a request for records. The records state the
// cold time that remains at `now`.
DigestAnswer answerDigest(const core::InstanceId &self,
                          const TargetEntries &entries,
                          const proto::MembershipDigest &digest,
                          core::TimePoint now);

} // namespace samphirebridge::membership
