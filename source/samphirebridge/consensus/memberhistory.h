// The members of a group, now and at earlier indices of the log.
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

// Returns the number of voters that form a quorum.
[[nodiscard]] size_t quorumSize(const proto::Configuration &configuration);

// Returns how many voters the group is meant to have. It may have more during a replacement, and
// fewer after a loss.
[[nodiscard]] size_t intendedVoters(const proto::Configuration &configuration);

// Returns the configuration after the change. UnknownMember if the member to promote is no learner
// or the member to remove is no member; InvalidRequest if it is in that role already or is the last
// voter; InvalidName. A learner that is added again with `resizes` is no error if the intended
// number of voters rises by it.
absl::StatusOr<proto::Configuration> withMemberChange(const proto::Configuration &configuration,
                                                      const MemberChange &change);

// The configurations in the log by index. The latest is in force, whether it is committed or not.
class MemberHistory
{
public:
    // Starts with the configuration of a snapshot at `index`.
    MemberHistory(uint64_t index, proto::Configuration configuration);

    [[nodiscard]] const proto::Configuration &latest() const;
    // Returns the index of the entry or snapshot that set the latest configuration.
    [[nodiscard]] uint64_t latestIndex() const;
    // Returns the configuration in force at `index`, which must not be before the last compaction.
    [[nodiscard]] const proto::Configuration &at(uint64_t index) const;

    // Adds the configuration of an appended entry; ignores entries of other kinds.
    void add(const proto::LogEntry &entry);
    // Removes the configurations of entries from `index` on.
    void truncateFrom(uint64_t index);
    // Removes the configurations that later ones up to `index` replaced.
    void compact(uint64_t index);
    // Replaces all configurations by that of a snapshot at `index`.
    void restore(uint64_t index, proto::Configuration configuration);

private:
    struct ConfigurationAt {
        uint64_t index = 0;
        proto::Configuration configuration;
    };

    std::vector<ConfigurationAt> configurations; // Never empty.
};

} // namespace samphirebridge::consensus
