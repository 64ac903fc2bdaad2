// Which members a group has, and had at earlier places of the log.
#pragma once

#include "samphirebridge/consensus/memberchange.h"

#include "consensus.pb.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace samphirebridge::consensus
{

[[nodiscard]] bool isVoter(const proto::Configuration &configuration, std::string_view member);
[[nodiscard]] bool isLearner(const proto::Configuration &configuration, std::string_view member);

// Returns the number of voters that make a quorum.
[[nodiscard]] size_t quorumOf(const proto::Configuration &configuration);

// Returns the configuration after the change. UnknownMember or InvalidRequest if the change does
// not fit; InvalidName.
absl::StatusOr<proto::Configuration> changed(const proto::Configuration &configuration,
                                             const MemberChange &change);

// The configurations in the log, the latest of which is in force, committed or not.
class MemberHistory
{
public:
    // Starts with the configuration of a snapshot.
    MemberHistory(uint64_t index, proto::Configuration configuration);

    [[nodiscard]] const proto::Configuration &latest() const;
    [[nodiscard]] uint64_t latestIndex() const;
    // Returns the configuration in force at an index not before the last compaction.
    [[nodiscard]] const proto::Configuration &at(uint64_t index) const;

    // Takes an entry; those of other kinds than CONFIGURATION change nothing.
    void add(const proto::LogEntry &entry);
    // Forgets what entries from `index` on had set.
    void truncateFrom(uint64_t index);
    // Forgets what was replaced before `index`.
    void compact(uint64_t index);
    // Replaces everything by a snapshot's configuration.
    void restore(uint64_t index, proto::Configuration configuration);

private:
    struct Place {
        uint64_t index = 0;
        proto::Configuration configuration;
    };

    std::vector<Place> places; // Never empty.
};

} // namespace samphirebridge::consensus
