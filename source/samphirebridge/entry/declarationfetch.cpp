#include "samphirebridge/entry/declarationfetch.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphirebridge::entry
{

namespace
{

// The pause after a request that failed or brought nothing new.
constexpr core::Duration RetryPause = std::chrono::milliseconds(100);

// The minimum time between two versions that come into force: for each of them the full content is
// decoded.
constexpr core::Duration ChangePause = std::chrono::milliseconds(400);

// Larger transfers are refused.
constexpr uint64_t MaximumTransferBytes = uint64_t{64} * 1024 * 1024;

} // namespace

DeclarationFetch::DeclarationFetch(size_t firstControlIndex)
    : nextControlIndex(firstControlIndex)
{
}

void DeclarationFetch::onNotice(const core::InstanceId &from, uint64_t version)
{
    if (version < this->committedVersion || version <= this->heldVersion) {
        return;
    }
    this->committedVersion = version;
    this->notifier = from;
    this->currentEffort.notifier = from;
}

void DeclarationFetch::onCommitted(uint64_t version)
{
    this->committedVersion = std::max(this->committedVersion, version);
}

void DeclarationFetch::onVersionHeld(uint64_t version, core::TimePoint now)
{
    this->heldVersion = version;
    this->committedVersion = std::max(this->committedVersion, version);
    this->needsFullContent = false;
    this->transfer = {};
    this->currentEffort = {};
    this->nextRequestAt = now + ChangePause;
}

std::optional<OutgoingFetch>
DeclarationFetch::nextRequest(std::span<const core::InstanceId> controlInstances,
                              core::TimePoint now)
{
    // An instance that holds no version asks without a notice: a version may have been committed
    // before it started.
    const bool isBehind = this->heldVersion < this->committedVersion || this->heldVersion == 0;
    if (isBehind && this->currentEffort.behindSince == core::TimePoint{}) {
        this->currentEffort.behindSince = now;
    }
    if (!isBehind || !this->requestedFrom.empty() || now < this->nextRequestAt) {
        return std::nullopt;
    }
    OutgoingFetch outgoing;
    outgoing.to = this->chooseSource(controlInstances);
    if (outgoing.to.empty()) {
        return std::nullopt;
    }
    this->requestedFrom = outgoing.to;
    this->currentEffort.source = outgoing.to;
    ++this->currentEffort.requestCount;
    outgoing.request.set_known_version(this->needsFullContent ? 0 : this->heldVersion);
    outgoing.request.set_checksum(this->transfer.checksum);
    outgoing.request.set_offset(this->transfer.bytes.size());
    return outgoing;
}

absl::StatusOr<std::optional<proto::DeclarationChange>>
DeclarationFetch::onReply(const absl::StatusOr<proto::FetchDeclarationReply> &reply,
                          core::TimePoint now)
{
    if (!reply.ok()) {
        this->abandonRequest(now);
        return reply.status();
    }
    if (reply->version() <= this->heldVersion || reply->part().empty()) {
        // The instance has not applied a newer version yet.
        this->abandonRequest(now);
        return std::nullopt;
    }
    if (!this->appendPart(*reply)) {
        this->abandonRequest(now);
        return core::makeError(core::ErrorCode::InvalidRequest,
                               "found a part with an offset or size that does not fit its "
                               "transfer; accepted is the next");
    }
    this->requestedFrom = {};
    if (this->transfer.bytes.size() < reply->total_bytes()) {
        return std::nullopt;
    }
    const Transfer complete = std::exchange(this->transfer, {});
    proto::DeclarationChange change;
    if (core::checksumOf(complete.bytes) != complete.checksum
        || !change.ParseFromString(complete.bytes)) {
        this->restart(now);
        return core::makeError(
            core::ErrorCode::StorageCorrupt,
            "found a damaged transfer; accepted is one that matches its checksum");
    }
    return change;
}

void DeclarationFetch::restart(core::TimePoint now)
{
    this->needsFullContent = true;
    this->transfer = {};
    this->abandonRequest(now);
}

const FetchEffort &DeclarationFetch::effort() const
{
    return this->currentEffort;
}

// Prefers the instance that announced the version: it has applied it, and was reachable just now.
// Otherwise the control instances are asked in turn.
core::InstanceId DeclarationFetch::chooseSource(std::span<const core::InstanceId> controlInstances)
{
    if (!this->notifier.empty()) {
        return this->notifier;
    }
    if (controlInstances.empty()) {
        return {};
    }
    return controlInstances[this->nextControlIndex++ % controlInstances.size()];
}

void DeclarationFetch::abandonRequest(core::TimePoint now)
{
    if (this->notifier == this->requestedFrom) {
        this->notifier = {};
    }
    this->requestedFrom = {};
    this->nextRequestAt = now + RetryPause;
    ++this->currentEffort.failureCount;
}

bool DeclarationFetch::appendPart(const proto::FetchDeclarationReply &reply)
{
    const bool isContinued = reply.checksum() == this->transfer.checksum
                             && reply.offset() == this->transfer.bytes.size();
    if (!isContinued) {
        this->transfer = {};
    }
    const bool isAcceptable
        = reply.offset() == this->transfer.bytes.size()
          && reply.total_bytes() <= MaximumTransferBytes
          && reply.part().size() <= reply.total_bytes() - this->transfer.bytes.size();
    if (!isAcceptable) {
        this->transfer = {};
        return false;
    }
    this->transfer.checksum = reply.checksum();
    this->transfer.bytes += reply.part();
    return true;
}

} // namespace samphirebridge::entry
