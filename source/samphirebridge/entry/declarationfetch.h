// Decides which instance to request the newest declaration from, and assembles the replies.
#pragma once

#include "instance.pb.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace samphirebridge::entry
{

// A request to send to one instance.
struct OutgoingFetch {
    core::InstanceId to;
    proto::FetchDeclarationRequest request;
};

// What it took to get from the held version to the next one.
struct FetchEffort {
    core::TimePoint behindSince; // When a newer version was first known.
    core::InstanceId notifier; // The last to announce a newer version; empty if none did.
    core::InstanceId source; // The last instance asked.
    size_t requestCount = 0;
    size_t failureCount = 0; // Requests that failed or brought nothing new.
};

// At most one request is outstanding. A transfer that one instance began can be continued by
// another: the parts received so far are kept. Not thread-safe; does no I/O: the host sends the
// requests and passes the replies back.
class DeclarationFetch
{
public:
    // Without a notice the control instances are asked in turn, starting with the one of this index
    // (modulo their number). A different index on each instance spreads the load when a whole fleet
    // starts.
    explicit DeclarationFetch(size_t firstControlIndex);

    // Notes that an instance has announced that it has applied the version.
    void onNotice(const core::InstanceId &from, uint64_t version);

    // Notes that the quorum has committed the version.
    void onCommitted(uint64_t version);

    // Notes the version that this instance now holds, and pauses before the next request, so that
    // changes in quick succession are fetched together.
    void onVersionHeld(uint64_t version, core::TimePoint now);

    // Returns the request to send now, if one is due: to the instance that announced the newest
    // version, otherwise to one of controlInstances. Its reply or failure must be passed to
    // onReply().
    std::optional<OutgoingFetch> nextRequest(std::span<const core::InstanceId> controlInstances,
                                             core::TimePoint now);

    // Processes the reply to the outstanding request. Returns the change once all of its parts have
    // arrived, otherwise nothing. Errors: that of the reply; InvalidRequest for a part that does
    // not fit the transfer; StorageCorrupt for a transfer that is damaged.
    absl::StatusOr<std::optional<proto::DeclarationChange>>
    onReply(const absl::StatusOr<proto::FetchDeclarationReply> &reply, core::TimePoint now);

    // Discards the transfer and requests the full content next: the received change is damaged or
    // does not apply to the held version.
    void restart(core::TimePoint now);

    // Returns what was done since the held version came into force.
    [[nodiscard]] const FetchEffort &effort() const;

private:
    struct Transfer {
        uint64_t checksum = 0; // Of the complete transfer.
        std::string bytes; // The parts received so far.
    };

    core::InstanceId chooseSource(std::span<const core::InstanceId> controlInstances);
    // Ends the outstanding request without a part, and pauses before the next.
    void abandonRequest(core::TimePoint now);
    // Appends the part to the transfer that it continues, or starts a new transfer with it. Returns
    // false, and drops the transfer, if the part has a wrong offset or size.
    bool appendPart(const proto::FetchDeclarationReply &reply);

    size_t nextControlIndex;
    core::InstanceId notifier; // Announced the newest version; empty if none.
    uint64_t committedVersion = 0; // The highest known.
    uint64_t heldVersion = 0;
    bool needsFullContent = false;
    core::TimePoint nextRequestAt;
    core::InstanceId requestedFrom; // Empty: no request is outstanding.
    Transfer transfer;
    FetchEffort currentEffort;
};

} // namespace samphirebridge::entry
