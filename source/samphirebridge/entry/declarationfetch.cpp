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

// The pause after a question without a useful answer, before the next instance is asked.
constexpr core::Duration RetryPause = std::chrono::milliseconds(100);

// The least time between two versions that come into force. Each of them has the whole content
// decoded.
constexpr core::Duration ChangePause = std::chrono::milliseconds(400);

// The largest transfer that is taken, in bytes.
constexpr uint64_t MaximumTransferBytes = uint64_t{64} * 1024 * 1024;

} // namespace

DeclarationFetch::DeclarationFetch(size_t firstTurn)
    : turn(firstTurn)
{
}

void DeclarationFetch::onNotice(const core::InstanceId &from, uint64_t version)
{
    if (version < this->wanted || version <= this->held) {
        return;
    }
    this->wanted = version;
    this->teller = from;
}

void DeclarationFetch::onCommitted(uint64_t version)
{
    this->wanted = std::max(this->wanted, version);
}

void DeclarationFetch::onHeld(uint64_t version, core::TimePoint now)
{
    this->held = version;
    this->wanted = std::max(this->wanted, version);
    this->needsWhole = false;
    this->transfer = {};
    this->notBefore = now + ChangePause;
}

std::optional<FetchStep> DeclarationFetch::next(std::span<const core::InstanceId> control,
                                                core::TimePoint now)
{
    // Nothing is held at the start: there may be a version that nobody has told of yet.
    const bool isBehind = this->held < this->wanted || this->held == 0;
    if (!isBehind || !this->asked.empty() || now < this->notBefore) {
        return std::nullopt;
    }
    FetchStep step;
    step.to = this->chooseSource(control);
    if (step.to.empty()) {
        return std::nullopt;
    }
    this->asked = step.to;
    step.request.set_known_version(this->needsWhole ? 0 : this->held);
    step.request.set_checksum(this->transfer.checksum);
    step.request.set_offset(this->transfer.bytes.size());
    return step;
}

absl::StatusOr<std::optional<proto::DeclarationChange>>
DeclarationFetch::onReply(const absl::StatusOr<proto::FetchDeclarationReply> &reply,
                          core::TimePoint now)
{
    if (!reply.ok()) {
        this->fail(now);
        return reply.status();
    }
    if (reply->version() <= this->held || reply->part().empty()) {
        // It has applied no newer version yet.
        this->fail(now);
        return std::nullopt;
    }
    if (!this->receive(*reply)) {
        this->fail(now);
        return core::makeError(core::ErrorCode::InvalidRequest,
                               "found a part that does not fit its transfer; accepted is the next");
    }
    this->asked = {};
    if (this->transfer.bytes.size() < reply->total_bytes()) {
        return std::nullopt;
    }
    const Transfer whole = std::exchange(this->transfer, {});
    proto::DeclarationChange change;
    if (core::checksumOf(whole.bytes) != whole.checksum || !change.ParseFromString(whole.bytes)) {
        this->restart(now);
        return core::makeError(core::ErrorCode::StorageCorrupt,
                               "found a damaged transfer; accepted is one that fits its checksum");
    }
    return change;
}

void DeclarationFetch::restart(core::TimePoint now)
{
    this->needsWhole = true;
    this->transfer = {};
    this->fail(now);
}

// Who told of a version has it, and is in reach. Without one the control instances are asked in
// turn.
core::InstanceId DeclarationFetch::chooseSource(std::span<const core::InstanceId> control)
{
    if (!this->teller.empty()) {
        return this->teller;
    }
    if (control.empty()) {
        return {};
    }
    return control[this->turn++ % control.size()];
}

void DeclarationFetch::fail(core::TimePoint now)
{
    if (this->teller == this->asked) {
        this->teller = {};
    }
    this->asked = {};
    this->notBefore = now + RetryPause;
}

bool DeclarationFetch::receive(const proto::FetchDeclarationReply &reply)
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
