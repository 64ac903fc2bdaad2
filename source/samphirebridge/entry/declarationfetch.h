// Decides which instance to request the newest declaration from, and assembles the replies. A
// version here is a revision of the declaration and the evacuations.
#pragma once

#include "instance.pb.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

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

// One request is outstanding; while its reply is late, further ones are sent to other instances,
// and the first reply counts. A transfer that one instance began can be continued by another: the
// parts received so far are kept. Not thread-safe; does no I/O: the host sends the requests and
// passes the replies back.
class DeclarationFetch
{
public:
    // Without a notice the control instances are asked in turn, starting with the one of this index
    // (modulo their number). A different index on each instance spreads the load when a whole fleet
    // starts.
    explicit DeclarationFetch(size_t firstControlIndex);

    // Sets whether this instance needs a declaration, and so asks without a notice while it holds
    // none; it does by default.
    void setRequiresContent(bool requiresContent);

    // Notes that an instance has announced that it has applied the version.
    void onNotice(const core::InstanceId &from, uint64_t version);

    // Notes that the quorum has committed the version.
    void onCommitted(uint64_t version);

    // Notes the version that this instance now holds, and pauses before the next request, so that
    // changes in quick succession are fetched together.
    void onVersionHeld(uint64_t version, core::TimePoint now);

    // Returns the request to send now, if one is due: to the instance that announced the newest
    // version, otherwise to one of controlInstances, those that failed lately last. Its reply or
    // failure must be passed to onReply().
    std::optional<OutgoingFetch> nextRequest(std::span<const core::InstanceId> controlInstances,
                                             core::TimePoint now);

    // Processes the reply of an instance to its request. Returns the change once all of its parts
    // have arrived, otherwise nothing. Errors: that of the reply; InvalidRequest for a part that
    // does not fit the transfer; StorageCorrupt for a transfer that is damaged.
    absl::StatusOr<std::optional<proto::DeclarationChange>>
    onReply(const core::InstanceId &source,
            const absl::StatusOr<proto::FetchDeclarationReply> &reply,
            core::TimePoint now);

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

    // A request without a reply yet, and the transfer that it continues.
    struct PendingRequest {
        core::InstanceId to;
        core::TimePoint sentAt;
        uint64_t knownVersion = 0;
        uint64_t checksum = 0;
        size_t offset = 0;
    };

    [[nodiscard]] core::InstanceId chooseSource(std::span<const core::InstanceId> controlInstances,
                                                core::TimePoint now);
    [[nodiscard]] bool isPending(const core::InstanceId &instance) const;
    // Returns whether no request is outstanding, or the last one is late.
    [[nodiscard]] bool mayRequest(core::TimePoint now) const;
    // Returns the version that the next change is to build on; 0: the full content is needed.
    [[nodiscard]] uint64_t baseVersion() const;
    // Returns whether the request still asks for what is needed next.
    [[nodiscard]] bool isCurrent(const PendingRequest &request) const;
    // Removes the instance's request from those outstanding.
    std::optional<PendingRequest> takePending(const core::InstanceId &source);
    // Notes that a request failed or brought nothing new, and pauses before the next if no other is
    // outstanding.
    void onFailure(const core::InstanceId &source, core::TimePoint now);
    // Appends the part to the transfer that it continues, or starts a new transfer with it. Returns
    // false, and drops the transfer, if the part has a wrong offset or size.
    bool appendPart(const proto::FetchDeclarationReply &reply);

    size_t nextControlIndex;
    core::InstanceId notifier; // Announced a newer version, or sent a part of it; empty if none.
    uint64_t committedVersion = 0; // The highest known.
    uint64_t heldVersion = 0;
    bool requiresContent = true;
    bool needsFullContent = false;
    core::TimePoint nextRequestAt;
    std::vector<PendingRequest> pending; // At most one for each instance, the oldest first.
    std::map<core::InstanceId, core::TimePoint> failedAt; // The last failure of each instance.
    Transfer transfer;
    FetchEffort currentEffort;
};

} // namespace samphirebridge::entry
