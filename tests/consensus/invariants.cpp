#include "invariants.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::consensus::tests
{

namespace
{

// The entries before an index that compareLogs() looks at.
constexpr uint64_t ComparedEntries = 64;

} // namespace

void Invariants::applied(std::string_view member, uint64_t index, const ChainMachine::Result &state)
{
    const auto [place, isNew]
        = this->history.try_emplace(index, AppliedAt{.state = state, .seenInTerm = 0});
    const AppliedAt &first = place->second;
    if (first.state.chain != state.chain || first.state.version != state.version) {
        this->violated(fmt::format("{} applied another history at index {}", member, index));
    }
    if (isNew) {
        place->second.seenInTerm = this->highestTerm;
    }
    this->floor = std::max(this->floor, state.version);
}

void Invariants::observe(std::string_view member, const RaftNode &node)
{
    this->highestTerm = std::max(this->highestTerm, node.term());
    if (node.role() != Role::Leader) {
        return;
    }
    const auto [place, isNew] = this->leaders.try_emplace(node.term(), member);
    if (place->second != member) {
        this->violated(
            fmt::format("{} and {} lead in term {}", place->second, member, node.term()));
    }
    if (this->history.empty()) {
        return;
    }
    const auto &[lastApplied, last] = *this->history.rbegin();
    if (last.seenInTerm < node.term() && node.lastIndex() < lastApplied) {
        this->violated(fmt::format(
            "{} leads in term {} without applied entry {}", member, node.term(), lastApplied));
    }
}

void Invariants::compareLogs(const RaftNode &left, const RaftNode &right)
{
    const uint64_t first = std::max(left.firstIndex(), right.firstIndex());
    const uint64_t last = std::min(left.lastIndex(), right.lastIndex());
    bool agreed = false;
    uint64_t compared = 0;
    for (uint64_t index = last; index >= first && compared < ComparedEntries; --index, ++compared) {
        const bool agrees = left.snapshotMetaAt(index).term() == right.snapshotMetaAt(index).term();
        if (agreed && !agrees) {
            this->violated(fmt::format("two logs agree behind index {} but not there", index));
        }
        agreed |= agrees;
    }
}

uint64_t Invariants::readFloor() const
{
    return this->floor;
}

void Invariants::readReturned(std::string_view member, uint64_t readFloor, uint64_t version)
{
    ++this->reads;
    if (version < readFloor) {
        this->violated(fmt::format("a confirmed read of {} returned version {} though {} had been "
                                   "applied before it was asked for",
                                   member,
                                   version,
                                   readFloor));
    }
    this->floor = std::max(this->floor, version);
}

void Invariants::violated(std::string_view what)
{
    if (this->firstViolation.empty()) {
        this->firstViolation = what;
    }
}

const std::string &Invariants::violation() const
{
    return this->firstViolation;
}

uint64_t Invariants::highestApplied() const
{
    return this->history.empty() ? 0 : this->history.rbegin()->first;
}

uint64_t Invariants::confirmedReads() const
{
    return this->reads;
}

} // namespace samphirebridge::consensus::tests
