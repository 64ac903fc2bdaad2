#include "samphirebridge/ledger/changebook.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::ledger
{

namespace
{

bool isExpired(const ChangeRecord &record, uint64_t nowMs)
{
    return record.atMs + ChangeRetentionMs <= nowMs;
}

} // namespace

absl::StatusOr<std::optional<proto::CommandResult>>
ChangeBook::firstAnswer(const std::string &changeId, std::string_view digest, uint64_t nowMs) const
{
    if (changeId.empty()) {
        return core::makeError(core::ErrorCode::InvalidRequest,
                               "the change id is empty; every change needs an id of its own");
    }
    const auto found = this->records.find(changeId);
    if (found == this->records.end() || isExpired(found->second, nowMs)) {
        return std::nullopt;
    }
    if (found->second.digest != digest) {
        return core::makeError(
            core::ErrorCode::ChangeIdReused,
            fmt::format(
                "change id '{}' was accepted with other content; a new change needs a new id",
                changeId));
    }
    proto::CommandResult result;
    result.ParseFromString(found->second.result);
    return result;
}

void ChangeBook::add(const std::string &changeId, ChangeRecord record)
{
    this->records.insert_or_assign(changeId, std::move(record));
    this->byAge.push_back(changeId);
}

void ChangeBook::removeExpired(uint64_t nowMs, size_t limit)
{
    for (size_t step = 0; step < limit && !this->byAge.empty(); ++step) {
        const auto found = this->records.find(this->byAge.front());
        if (found != this->records.end()) {
            if (!isExpired(found->second, nowMs)) {
                return;
            }
            this->records.erase(found);
        }
        this->byAge.pop_front();
    }
}

std::vector<std::string> ChangeBook::orderedIds(uint64_t nowMs) const
{
    std::vector<std::string> ids;
    for (const auto &[id, record] : this->records) {
        if (!isExpired(record, nowMs)) {
            ids.push_back(id);
        }
    }
    std::ranges::sort(ids);
    return ids;
}

const ChangeRecord &ChangeBook::at(const std::string &changeId) const
{
    return this->records.at(changeId);
}

} // namespace samphirebridge::ledger
