#include "samphirebridge/control/joinplan.h"

#include "samphirebridge/storage/memberidentity.h"

#include <algorithm>
#include <string>

namespace samphirebridge::control
{

namespace
{

template <typename Names>
bool contains(const Names &names, std::string_view member)
{
    return std::find(names.begin(), names.end(), member) != names.end();
}

// Returns a member of the same instance with another generation, or nothing.
template <typename Names>
std::optional<std::string> findOtherGeneration(const Names &names, std::string_view member)
{
    const std::string_view instance = storage::instanceOf(member);
    for (const std::string &name : names) {
        if (name != member && storage::instanceOf(name) == instance) {
            return name;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<consensus::MemberChange> nextJoinStep(const proto::Configuration &configuration,
                                                    std::string_view member,
                                                    bool caughtUp,
                                                    const std::optional<std::string> &silentVoter)
{
    using Kind = consensus::MemberChangeKind;
    const bool isVoter = contains(configuration.voters(), member);
    const bool isLearner = contains(configuration.learners(), member);
    if (!isVoter && !isLearner) {
        return consensus::MemberChange{Kind::AddLearner, std::string(member)};
    }
    if (!isVoter && !caughtUp) {
        return std::nullopt;
    }
    auto otherMember = findOtherGeneration(configuration.learners(), member);
    if (!otherMember) {
        otherMember = findOtherGeneration(configuration.voters(), member);
    }
    if (otherMember) {
        return consensus::MemberChange{Kind::Remove, *otherMember};
    }
    const bool wouldBeEven = configuration.voters_size() % 2 != 0;
    if (!isVoter && silentVoter && wouldBeEven) {
        return consensus::MemberChange{Kind::Remove, *silentVoter};
    }
    if (!isVoter) {
        return consensus::MemberChange{Kind::Promote, std::string(member)};
    }
    return std::nullopt;
}

std::optional<consensus::MemberChange>
nextRemovalStep(const proto::Configuration &configuration,
                const std::optional<std::string> &silentVoter)
{
    constexpr int MinimumVoters = 4;
    const int voters = configuration.voters_size();
    if (!silentVoter || voters < MinimumVoters || voters % 2 != 0) {
        return std::nullopt;
    }
    return consensus::MemberChange{consensus::MemberChangeKind::Remove, *silentVoter};
}

} // namespace samphirebridge::control
