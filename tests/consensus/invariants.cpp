#include "invariants.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::consensus::tests
{

namespace
{

// The number of entries that compareLogs() compares, from the last common index backwards.
constexpr uint64_t MaximumComparedEntries = 64;

} // namespace

void Invariants::recordApplied(std::string_view member,
                               uint64_t index,
                               const ChainMachine::Result &state)
{
    const auto [known, isNew]
        = this->history.try_emplace(index, AppliedState{.state = state, .firstSeenInTerm = 0});
    const AppliedState &first = known->second;
    if (first.state.digest != state.digest || first.state.version != state.version) {
        this->recordViolation(
            fmt::format("{} has a different state after index {}", member, index));
    }
    if (isNew) {
        known->second.firstSeenInTerm = this->highestTerm;
    }
    this->highestVersion = std::max(this->highestVersion, state.version);
}

void Invariants::checkLeader(std::string_view member, const RaftNode &node)
{
    this->highestTerm = std::max(this->highestTerm, node.term());
    if (node.role() != Role::Leader) {
        return;
    }
    const auto [known, isNew] = this->leaders.try_emplace(node.term(), member);
    if (known->second != member) {
        this->recordViolation(
            fmt::format("{} and {} both lead in term {}", known->second, member, node.term()));
    }
    if (this->history.empty()) {
        return;
    }
    const auto &[lastAppliedIndex, last] = *this->history.rbegin();
    if (last.firstSeenInTerm < node.term() && node.lastIndex() < lastAppliedIndex) {
        this->recordViolation(fmt::format(
            "{} leads in term {} without applied entry {}", member, node.term(), lastAppliedIndex));
    }
}

void Invariants::compareLogs(const RaftNode &left, const RaftNode &right)
{
    const uint64_t first = std::max(left.firstIndex(), right.firstIndex());
    const uint64_t last = std::min(left.lastIndex(), right.lastIndex());
    bool agreesAbove = false;
    uint64_t compared = 0;
    for (uint64_t index = last; index >= first && compared < MaximumComparedEntries;
         --index, ++compared) {
        const bool agrees = left.snapshotMetaAt(index).term() == right.snapshotMetaAt(index).term();
        if (agreesAbove && !agrees) {
            this->recordViolation(
                fmt::format("two logs differ at index {} but agree at a higher one", index));
        }
        agreesAbove |= agrees;
    }
}

uint64_t Invariants::minimumReadVersion() const
{
    return this->highestVersion;
}

void Invariants::recordRead(std::string_view member, uint64_t minimumVersion, uint64_t version)
{
    ++this->reads;
    if (version < minimumVersion) {
        this->recordViolation(
            fmt::format("a confirmed read of {} returned version {} though {} had been "
                        "applied or read before it was requested",
                        member,
                        version,
                        minimumVersion));
    }
    this->highestVersion = std::max(this->highestVersion, version);
}

void Invariants::recordViolation(std::string_view what)
{
    if (this->firstViolation.empty()) {
        this->firstViolation = what;
    }
}

const std::string &Invariants::violation() const
{
    return this->firstViolation;
}

uint64_t Invariants::highestAppliedIndex() const
{
    return this->history.empty() ? 0 : this->history.rbegin()->first;
}

uint64_t Invariants::confirmedReadCount() const
{
    return this->reads;
}

} // namespace samphirebridge::consensus::tests
