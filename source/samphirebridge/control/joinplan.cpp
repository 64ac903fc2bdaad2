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

// Returns another member of the same instance, or nothing.
template <typename Names>
std::optional<std::string> otherGeneration(const Names &names, std::string_view member)
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
    const bool votes = contains(configuration.voters(), member);
    const bool learns = contains(configuration.learners(), member);
    if (!votes && !learns) {
        return consensus::MemberChange{Kind::AddLearner, std::string(member)};
    }
    if (!votes && !caughtUp) {
        return std::nullopt;
    }
    auto older = otherGeneration(configuration.learners(), member);
    if (!older) {
        older = otherGeneration(configuration.voters(), member);
    }
    if (older) {
        return consensus::MemberChange{Kind::Remove, *older};
    }
    const bool wouldBeEven = configuration.voters_size() % 2 != 0;
    if (!votes && silentVoter && wouldBeEven) {
        return consensus::MemberChange{Kind::Remove, *silentVoter};
    }
    if (!votes) {
        return consensus::MemberChange{Kind::Promote, std::string(member)};
    }
    return std::nullopt;
}

std::optional<consensus::MemberChange> nextTrimStep(const proto::Configuration &configuration,
                                                    const std::optional<std::string> &silentVoter)
{
    constexpr int FewestVoters = 4;
    const int voters = configuration.voters_size();
    if (!silentVoter || voters < FewestVoters || voters % 2 != 0) {
        return std::nullopt;
    }
    return consensus::MemberChange{consensus::MemberChangeKind::Remove, *silentVoter};
}

} // namespace samphirebridge::control
