#include "samphirebridge/control/joinplan.h"

#include "samphirebridge/consensus/memberhistory.h"
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

// Returns a voter other than `self` that has resigned.
std::optional<std::string> findResignedVoter(const proto::Configuration &configuration,
                                             std::string_view self,
                                             std::span<const std::string> resigned)
{
    for (const std::string &member : resigned) {
        if (member != self && consensus::isVoter(configuration, member)) {
            return member;
        }
    }
    return std::nullopt;
}

// Returns since when the voter has been silent.
core::TimePoint silentSince(const consensus::RaftNode &leader,
                            std::string_view voter,
                            const LastContact &lastContact,
                            core::TimePoint now)
{
    const core::TimePoint lastHeard = leader.lastHeard(voter);
    if (leader.hasHeard(voter) || now - lastHeard < FirstAnswerTimeout) {
        return lastHeard;
    }
    return std::min(lastHeard, lastContact(storage::instanceOf(voter)).value_or(lastHeard));
}

// Returns the voter that has been silent for longest, if for more than the timeout.
std::optional<std::string> findSilentVoter(const consensus::RaftNode &leader,
                                           std::string_view self,
                                           core::Duration timeout,
                                           const LastContact &lastContact,
                                           core::TimePoint now)
{
    std::optional<std::string> silent;
    core::TimePoint oldest = now - timeout;
    for (const std::string &voter : leader.configuration().voters()) {
        const core::TimePoint since = silentSince(leader, voter, lastContact, now);
        if (voter != self && since < oldest) {
            oldest = since;
            silent = voter;
        }
    }
    return silent;
}

} // namespace

std::optional<consensus::MemberChange> nextMemberChange(const consensus::RaftNode &leader,
                                                        std::string_view self,
                                                        std::span<const std::string> resigned,
                                                        const LastContact &lastContact,
                                                        core::TimePoint now)
{
    const proto::Configuration &configuration = leader.configuration();
    SilentVoters silent{findResignedVoter(configuration, self, resigned),
                        findSilentVoter(leader, self, VoterSilenceTimeout, lastContact, now)};
    if (!silent.replaceable) {
        silent.replaceable
            = findSilentVoter(leader, self, ReplaceableVoterSilenceTimeout, lastContact, now);
    }
    for (const std::string &learner : configuration.learners()) {
        if (auto step = nextJoinStep(configuration, learner, leader.isCaughtUp(learner), silent)) {
            return step;
        }
    }
    return nextRemovalStep(configuration, silent);
}

std::optional<consensus::MemberChange> nextJoinStep(const proto::Configuration &configuration,
                                                    std::string_view member,
                                                    bool caughtUp,
                                                    const SilentVoters &silent)
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
    if (isVoter) {
        return std::nullopt;
    }
    const auto voters = static_cast<size_t>(configuration.voters_size());
    if (voters < consensus::intendedVoters(configuration)) {
        return consensus::MemberChange{Kind::Promote, std::string(member)};
    }
    if (silent.replaceable) {
        return consensus::MemberChange{Kind::Remove, *silent.replaceable};
    }
    return std::nullopt;
}

std::optional<consensus::MemberChange> nextRemovalStep(const proto::Configuration &configuration,
                                                       const SilentVoters &silent)
{
    using Kind = consensus::MemberChangeKind;
    constexpr int MinimumVoters = 4;
    if (configuration.voters_size() < MinimumVoters) {
        return std::nullopt;
    }
    const auto voters = static_cast<size_t>(configuration.voters_size());
    if (silent.replaceable && voters > consensus::intendedVoters(configuration)) {
        return consensus::MemberChange{Kind::Remove, *silent.replaceable};
    }
    if (silent.lost && voters % 2 == 0) {
        return consensus::MemberChange{Kind::Remove, *silent.lost};
    }
    return std::nullopt;
}

} // namespace samphirebridge::control
