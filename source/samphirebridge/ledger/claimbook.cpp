#include "samphirebridge/ledger/claimbook.h"

#include <absl/hash/hash.h>

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

constexpr uint64_t MillisecondsPerSecond = 1000;

std::string joinedKey(std::string_view organisation, std::string_view key)
{
    std::string joined;
    joined.reserve(organisation.size() + 1 + key.size());
    joined.append(organisation);
    joined.push_back('\0');
    joined.append(key);
    return joined;
}

bool isExpired(const ClaimRecord &record, uint64_t nowMs)
{
    return record.finished && record.expiresAtMs() <= nowMs;
}

} // namespace

uint64_t ClaimRecord::expiresAtMs() const
{
    return this->finishedAtMs + this->retentionS * MillisecondsPerSecond;
}

std::string_view ClaimRecord::organisation() const
{
    const std::string_view joined = this->key.view();
    return joined.substr(0, joined.find('\0'));
}

std::string_view ClaimRecord::callerKey() const
{
    const std::string_view joined = this->key.view();
    return joined.substr(joined.find('\0') + 1);
}

size_t ClaimBook::KeyHash::operator()(ClaimIndex claim) const
{
    return (*this)((*this->records)[claim].key.view());
}

size_t ClaimBook::KeyHash::operator()(std::string_view key) const
{
    return absl::HashOf(key);
}

bool ClaimBook::KeyEqual::operator()(ClaimIndex left, ClaimIndex right) const
{
    return (*this->records)[left].key.view() == (*this->records)[right].key.view();
}

bool ClaimBook::KeyEqual::operator()(ClaimIndex left, std::string_view right) const
{
    return (*this->records)[left].key.view() == right;
}

bool ClaimBook::KeyEqual::operator()(std::string_view left, ClaimIndex right) const
{
    return left == (*this->records)[right].key.view();
}

ClaimBook::ClaimBook()
    : byKey(0, KeyHash{&this->records}, KeyEqual{&this->records})
{
}

ClaimIndex
ClaimBook::find(std::string_view organisation, std::string_view key, uint64_t nowMs) const
{
    const std::string joined = joinedKey(organisation, key);
    const auto found = this->byKey.find(std::string_view(joined));
    if (found == this->byKey.end() || isExpired(this->records[*found], nowMs)) {
        return NoIndex;
    }
    return *found;
}

ClaimIndex
ClaimBook::add(std::string_view organisation, std::string_view key, HolderIndex &replacedHolder)
{
    const std::string joined = joinedKey(organisation, key);
    const auto found = this->byKey.find(std::string_view(joined));
    replacedHolder = NoIndex;
    if (found != this->byKey.end()) {
        const ClaimIndex old = *found;
        replacedHolder = this->records[old].holder;
        this->remove(old);
    }
    ClaimIndex index = static_cast<ClaimIndex>(this->records.size());
    if (this->unused.empty()) {
        this->records.emplace_back();
    } else {
        index = this->unused.back();
        this->unused.pop_back();
    }
    this->records[index].key = CompactBytes(joined);
    this->byKey.insert(index);
    return index;
}

void ClaimBook::finish(ClaimIndex claim, const std::string &answer, uint64_t nowMs)
{
    ClaimRecord &record = this->records[claim];
    record.finished = true;
    record.finishedAtMs = nowMs;
    record.answer = CompactBytes(answer);
    this->expiring[record.expiresAtMs() / MillisecondsPerSecond].push_back(claim);
}

std::vector<HolderIndex> ClaimBook::removeExpired(uint64_t nowMs, size_t limit)
{
    std::vector<HolderIndex> holders;
    for (size_t step = 0; step < limit && !this->expiring.empty(); ++step) {
        const auto first = this->expiring.begin();
        if ((first->first + 1) * MillisecondsPerSecond > nowMs) {
            break;
        }
        const ClaimIndex claim = first->second.back();
        first->second.pop_back();
        if (first->second.empty()) {
            this->expiring.erase(first);
        }
        const ClaimRecord &record = this->records[claim];
        if (record.holder != NoIndex && isExpired(record, nowMs)) {
            holders.push_back(record.holder);
            this->remove(claim);
        }
    }
    return holders;
}

ClaimRecord &ClaimBook::at(ClaimIndex claim)
{
    return this->records[claim];
}

const ClaimRecord &ClaimBook::at(ClaimIndex claim) const
{
    return this->records[claim];
}

std::vector<ClaimIndex> ClaimBook::orderedByKey(uint64_t nowMs) const
{
    std::vector<ClaimIndex> claims;
    for (const ClaimIndex claim : this->byKey) {
        if (!isExpired(this->records[claim], nowMs)) {
            claims.push_back(claim);
        }
    }
    std::ranges::sort(
        claims, {}, [this](ClaimIndex claim) { return this->records[claim].key.view(); });
    return claims;
}

void ClaimBook::remove(ClaimIndex claim)
{
    this->byKey.erase(claim);
    this->records[claim] = {};
    this->unused.push_back(claim);
}

} // namespace samphirebridge::ledger
