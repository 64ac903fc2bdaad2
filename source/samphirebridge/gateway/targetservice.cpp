#include "samphirebridge/gateway/targetservice.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/gateway/announcementjson.h"
#include "samphirebridge/gateway/jsonanswer.h"

#include <fmt/format.h>

namespace samphirebridge::gateway
{

namespace
{

// How soon a target should announce itself again, in milliseconds.
constexpr int RenewAfterMs = 1000;

} // namespace

TargetService::TargetService(entry::EntryNode &entryNode,
                             runtime::TaskQueue &taskQueue,
                             telemetry::Counters &processCounters)
    : node(entryNode)
    , queue(taskQueue)
    , counters(processCounters)
{
}

void TargetService::announce(const http::Request &request, http::ResponseWriter &writer)
{
    const absl::Status status = this->acceptAnnouncement(request);
    if (!status.ok()) {
        this->counters.count(telemetry::Event::AnnouncementsRejected);
        sendError(writer, status);
        return;
    }
    this->counters.count(telemetry::Event::AnnouncementsReceived);
    sendJson(writer, {{"renew_after_ms", RenewAfterMs}});
}

absl::Status TargetService::acceptAnnouncement(const http::Request &request)
{
    const auto catalogue = this->node.manifest().catalogue();
    const proto::TargetKind *kind
        = catalogue->targetKindByDigest(core::sha256Of(http::bearerToken(request)));
    if (kind == nullptr) {
        return core::makeError(core::ErrorCode::Unauthenticated,
                               "the bearer token does not belong to a target kind of the manifest");
    }
    auto record = parseAnnouncement(request.body);
    if (!record.ok()) {
        return record.status();
    }
    if (record->kind() != kind->id()) {
        return core::makeError(
            core::ErrorCode::Forbidden,
            fmt::format("the token is for targets of the kind \"{}\"", kind->id()));
    }
    record->set_checks_fencing(record->checks_fencing() && kind->checks_fencing());
    return this->queue.call([this, record = std::move(*record)] {
        return this->node.fleet().announce(record, this->clock.now());
    });
}

} // namespace samphirebridge::gateway
