#include "samphirebridge/ledger/declarationhistory.h"

#include "samphirebridge/delta/contentdelta.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::ledger
{

namespace
{

// Limits of the history, in serialised bytes and in changes.
constexpr size_t MaximumHistoryBytes = size_t{1} * 1024 * 1024;
constexpr size_t MaximumChanges = 256;

// Deltas smaller than this are returned without compressing the whole content to compare sizes.
constexpr size_t MinimumComparedBytes = size_t{16} * 1024;

} // namespace

void DeclarationHistory::add(uint64_t baseRevision, uint64_t revision, proto::ContentDelta delta)
{
    if (!this->changes.empty() && this->changes.back().revision != baseRevision) {
        this->clear();
    }
    const size_t bytes = delta.ByteSizeLong();
    this->changes.push_back({baseRevision, revision, std::move(delta), bytes});
    this->totalBytes += bytes;
    while (this->changes.size() > MaximumChanges || this->totalBytes > MaximumHistoryBytes) {
        this->totalBytes -= this->changes.front().bytes;
        this->changes.pop_front();
    }
}

void DeclarationHistory::clear()
{
    this->changes.clear();
    this->totalBytes = 0;
}

proto::DeclarationChange DeclarationHistory::changeSince(uint64_t knownRevision,
                                                         uint64_t revision,
                                                         std::string_view content) const
{
    proto::DeclarationChange change;
    if (knownRevision >= revision) {
        change.set_base_version(revision);
        return change;
    }
    auto first
        = std::find_if(this->changes.begin(), this->changes.end(), [&](const Change &candidate) {
              return candidate.baseRevision == knownRevision;
          });
    size_t bytes = 0;
    for (auto next = first; next != this->changes.end(); ++next) {
        bytes += next->bytes;
    }
    if (knownRevision != 0 && first != this->changes.end()) {
        change.set_base_version(knownRevision);
        for (; first != this->changes.end(); ++first) {
            *change.add_deltas() = first->delta;
        }
    }
    const bool isRemembered = change.deltas_size() > 0;
    if (isRemembered && bytes < MinimumComparedBytes) {
        return change;
    }
    proto::ContentDelta whole = delta::makeDelta({}, content);
    if (!isRemembered || whole.ByteSizeLong() < bytes) {
        change.set_base_version(0);
        change.clear_deltas();
        *change.add_deltas() = std::move(whole);
    }
    return change;
}

} // namespace samphirebridge::ledger
