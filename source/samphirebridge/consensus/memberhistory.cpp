#include "samphirebridge/consensus/memberhistory.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/core/ids.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

namespace samphirebridge::consensus
{

namespace
{

using Names = google::protobuf::RepeatedPtrField<std::string>;

bool contains(const Names &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

void removeName(Names &names, std::string_view name)
{
    names.erase(std::remove(names.begin(), names.end(), name), names.end());
}

absl::Status
invalidChange(std::string_view member, std::string_view found, std::string_view accepted)
{
    return core::makeError(
        core::ErrorCode::InvalidRequest,
        fmt::format("member {}: found {}; accepted is {}", member, found, accepted));
}

absl::StatusOr<proto::Configuration> withLearner(proto::Configuration configuration,
                                                 const MemberChange &change)
{
    const std::string &member = change.member;
    if (absl::Status status = core::checkName(member); !status.ok()) {
        return status;
    }
    const size_t intended = intendedVoters(configuration);
    const bool isKnown = isVoter(configuration, member) || isLearner(configuration, member);
    if (!isKnown) {
        configuration.add_learners(member);
    }
    const size_t members = static_cast<size_t>(configuration.voters_size())
                           + static_cast<size_t>(configuration.learners_size());
    const bool extends = change.resizes && members > intended;
    if (isKnown && !extends) {
        return invalidChange(
            member, "a member to be added that the group already has", "a name that is not in use");
    }
    configuration.set_size(static_cast<uint32_t>(extends ? members : intended));
    return configuration;
}

absl::StatusOr<proto::Configuration> withPromoted(proto::Configuration configuration,
                                                  const std::string &member)
{
    if (isVoter(configuration, member)) {
        return invalidChange(member, "a voter to be promoted", "a learner");
    }
    if (!isLearner(configuration, member)) {
        return core::makeError(
            core::ErrorCode::UnknownMember,
            fmt::format("member {}: found no such learner; accepted is one that was added",
                        member));
    }
    removeName(*configuration.mutable_learners(), member);
    configuration.set_size(static_cast<uint32_t>(intendedVoters(configuration)));
    configuration.add_voters(member);
    return configuration;
}

absl::StatusOr<proto::Configuration> withRemoved(proto::Configuration configuration,
                                                 const MemberChange &change)
{
    const std::string &member = change.member;
    const size_t intended = intendedVoters(configuration);
    if (!isVoter(configuration, member) && !isLearner(configuration, member)) {
        return core::makeError(
            core::ErrorCode::UnknownMember,
            fmt::format("member {}: found no such member; accepted is a voter or a learner",
                        member));
    }
    removeName(*configuration.mutable_learners(), member);
    removeName(*configuration.mutable_voters(), member);
    if (configuration.voters().empty()) {
        return invalidChange(
            member, "the last voter to be removed", "a removal after which the group has a voter");
    }
    const auto voters = static_cast<size_t>(configuration.voters_size());
    configuration.set_size(
        static_cast<uint32_t>(change.resizes ? std::min(intended, voters) : intended));
    return configuration;
}

} // namespace

bool isVoter(const proto::Configuration &configuration, std::string_view member)
{
    return contains(configuration.voters(), member);
}

bool isLearner(const proto::Configuration &configuration, std::string_view member)
{
    return contains(configuration.learners(), member);
}

size_t quorumSize(const proto::Configuration &configuration)
{
    return static_cast<size_t>(configuration.voters_size()) / 2 + 1;
}

size_t intendedVoters(const proto::Configuration &configuration)
{
    return configuration.size() > 0 ? configuration.size()
                                    : static_cast<size_t>(configuration.voters_size());
}

absl::StatusOr<proto::Configuration> withMemberChange(const proto::Configuration &configuration,
                                                      const MemberChange &change)
{
    switch (change.kind) {
    case MemberChangeKind::AddLearner:
        return withLearner(configuration, change);
    case MemberChangeKind::Promote:
        return withPromoted(configuration, change.member);
    case MemberChangeKind::Remove:
        return withRemoved(configuration, change);
    }
    return core::makeError(core::ErrorCode::Internal, "found an unknown kind of member change");
}

MemberHistory::MemberHistory(uint64_t index, proto::Configuration configuration)
{
    this->restore(index, std::move(configuration));
}

const proto::Configuration &MemberHistory::latest() const
{
    return this->configurations.back().configuration;
}

uint64_t MemberHistory::latestIndex() const
{
    return this->configurations.back().index;
}

const proto::Configuration &MemberHistory::at(uint64_t index) const
{
    size_t position = this->configurations.size() - 1;
    while (position > 0 && this->configurations[position].index > index) {
        --position;
    }
    return this->configurations[position].configuration;
}

void MemberHistory::add(const proto::LogEntry &entry)
{
    if (entry.kind() != proto::CONFIGURATION || entry.index() <= this->latestIndex()) {
        return;
    }
    ConfigurationAt added{.index = entry.index(), .configuration = {}};
    added.configuration.ParseFromString(entry.data());
    this->configurations.push_back(std::move(added));
}

void MemberHistory::truncateFrom(uint64_t index)
{
    while (this->configurations.size() > 1 && this->configurations.back().index >= index) {
        this->configurations.pop_back();
    }
}

void MemberHistory::compact(uint64_t index)
{
    while (this->configurations.size() > 1 && this->configurations[1].index <= index) {
        this->configurations.erase(this->configurations.begin());
    }
}

void MemberHistory::restore(uint64_t index, proto::Configuration configuration)
{
    this->configurations.clear();
    this->configurations.push_back({.index = index, .configuration = std::move(configuration)});
}

} // namespace samphirebridge::consensus
