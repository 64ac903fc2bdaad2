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

// The time without a reply after which another instance is asked as well, and how many requests may
// be outstanding.
constexpr core::Duration LateReply = std::chrono::milliseconds(150);
constexpr size_t MaximumPending = 3;

// How long an instance that failed, was late or had nothing new is asked only if no other is left
// or if it announces a version.
constexpr core::Duration FailureMemory = std::chrono::seconds(2);

// Larger transfers are refused.
constexpr uint64_t MaximumTransferBytes = uint64_t{64} * 1024 * 1024;

} // namespace

DeclarationFetch::DeclarationFetch(size_t firstControlIndex)
    : nextControlIndex(firstControlIndex)
{
}

void DeclarationFetch::setRequiresContent(bool isRequired)
{
    this->requiresContent = isRequired;
}

void DeclarationFetch::onNotice(const core::InstanceId &from, uint64_t version)
{
    if (version < this->committedVersion || version <= this->heldVersion) {
        return;
    }
    this->committedVersion = version;
    this->currentEffort.notifier = from;
    // Another instance may not have the transfer that is under way, and would begin it anew.
    if (this->transfer.bytes.empty() || this->notifier.empty()) {
        this->notifier = from;
    }
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
    const bool lacksContent = this->requiresContent && this->heldVersion == 0;
    const bool isBehind = this->heldVersion < this->committedVersion || lacksContent;
    if (isBehind && this->currentEffort.behindSince == core::TimePoint{}) {
        this->currentEffort.behindSince = now;
    }
    if (!isBehind || !this->mayRequest(now) || now < this->nextRequestAt) {
        return std::nullopt;
    }
    OutgoingFetch outgoing;
    outgoing.to = this->chooseSource(controlInstances, now);
    if (outgoing.to.empty()) {
        return std::nullopt;
    }
    if (!this->pending.empty()) {
        this->failedAt[this->pending.back().to] = now;
    }
    this->pending.push_back(PendingRequest{outgoing.to,
                                           now,
                                           this->baseVersion(),
                                           this->transfer.checksum,
                                           this->transfer.bytes.size()});
    this->currentEffort.source = outgoing.to;
    ++this->currentEffort.requestCount;
    outgoing.request.set_known_version(this->baseVersion());
    outgoing.request.set_checksum(this->transfer.checksum);
    outgoing.request.set_offset(this->transfer.bytes.size());
    return outgoing;
}

absl::StatusOr<std::optional<proto::DeclarationChange>>
DeclarationFetch::onReply(const core::InstanceId &source,
                          const absl::StatusOr<proto::FetchDeclarationReply> &reply,
                          core::TimePoint now)
{
    const auto request = this->takePending(source);
    if (!reply.ok()) {
        this->onFailure(source, now);
        return reply.status();
    }
    if (!request || !this->isCurrent(*request)) {
        // Another instance has replied before.
        return std::nullopt;
    }
    if (reply->version() <= this->heldVersion || reply->part().empty()) {
        // The instance has not applied a newer version yet.
        this->onFailure(source, now);
        return std::nullopt;
    }
    if (!this->appendPart(*reply)) {
        this->onFailure(source, now);
        return core::makeError(core::ErrorCode::InvalidRequest,
                               "found a part with an offset or size that does not fit its "
                               "transfer; accepted is the next");
    }
    this->failedAt.erase(source);
    if (this->notifier.empty()) {
        this->notifier = source;
    }
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
    ++this->currentEffort.failureCount;
    this->nextRequestAt = now + RetryPause;
}

const FetchEffort &DeclarationFetch::effort() const
{
    return this->currentEffort;
}

// Prefers the instance that announced the version: it has applied it, and was reachable just now.
// Otherwise the control instances are asked in turn.
core::InstanceId DeclarationFetch::chooseSource(std::span<const core::InstanceId> controlInstances,
                                                core::TimePoint now)
{
    if (!this->notifier.empty() && !this->isPending(this->notifier)) {
        return this->notifier;
    }
    const auto hasFailed = [&](const core::InstanceId &instance) {
        const auto failure = this->failedAt.find(instance);
        return failure != this->failedAt.end() && now - failure->second < FailureMemory;
    };
    core::InstanceId lastResort;
    for (size_t tried = 0; tried < controlInstances.size(); ++tried) {
        const core::InstanceId &instance
            = controlInstances[this->nextControlIndex++ % controlInstances.size()];
        if (this->isPending(instance)) {
            continue;
        }
        if (!hasFailed(instance)) {
            return instance;
        }
        if (lastResort.empty()) {
            lastResort = instance;
        }
    }
    return lastResort;
}

uint64_t DeclarationFetch::baseVersion() const
{
    return this->needsFullContent ? 0 : this->heldVersion;
}

bool DeclarationFetch::isCurrent(const PendingRequest &request) const
{
    return request.knownVersion == this->baseVersion()
           && request.checksum == this->transfer.checksum
           && request.offset == this->transfer.bytes.size();
}

bool DeclarationFetch::isPending(const core::InstanceId &instance) const
{
    return std::ranges::count(this->pending, instance, &PendingRequest::to) > 0;
}

bool DeclarationFetch::mayRequest(core::TimePoint now) const
{
    return this->pending.empty()
           || (this->pending.size() < MaximumPending
               && now - this->pending.back().sentAt >= LateReply);
}

std::optional<DeclarationFetch::PendingRequest>
DeclarationFetch::takePending(const core::InstanceId &source)
{
    const auto found = std::ranges::find(this->pending, source, &PendingRequest::to);
    if (found == this->pending.end()) {
        return std::nullopt;
    }
    PendingRequest request = std::move(*found);
    this->pending.erase(found);
    return request;
}

void DeclarationFetch::onFailure(const core::InstanceId &source, core::TimePoint now)
{
    ++this->currentEffort.failureCount;
    this->failedAt[source] = now;
    if (this->notifier == source) {
        this->notifier = {};
    }
    if (this->pending.empty()) {
        this->nextRequestAt = std::max(this->nextRequestAt, now + RetryPause);
    }
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
