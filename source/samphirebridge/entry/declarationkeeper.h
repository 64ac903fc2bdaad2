// Keeps the declaration and the evacuations in force on this instance. The committed revision is
// read through the quorum at the start; the content is fetched from control instances as changes to
// the held content.
#pragma once

#include "instance.pb.h"
#include "ledger.pb.h"
#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/entry/declarationfetch.h"
#include "samphirebridge/entry/declarationfreshness.h"
#include "samphirebridge/entry/versionwatch.h"
#include "samphirebridge/forwarding/routetable.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace samphirebridge::entry
{

// Decodes the content of a declaration that the ledger accepted.
using DeclarationDecoder
    = std::function<absl::StatusOr<forwarding::Declaration>(const proto::Declaration &)>;

// Sends a request to an instance and calls the function with the reply, or with the error, on the
// control thread.
using FetchSender
    = std::function<void(const core::InstanceId &,
                         const proto::FetchDeclarationRequest &,
                         std::function<void(absl::StatusOr<proto::FetchDeclarationReply>)>)>;

// Called with each declaration that comes into force.
using OnDeclaration = std::function<void(const forwarding::Declaration &)>;

// Called with the revision in force and all evacuations, each time either may have changed.
using Evacuations = google::protobuf::RepeatedPtrField<proto::Evacuation>;
using OnRevision = std::function<void(uint64_t, const Evacuations &)>;

// The revision in force never decreases: older and duplicate changes are ignored. Not thread-safe:
// used on the control thread only.
class DeclarationKeeper
{
public:
    DeclarationKeeper(const core::InstanceId &self,
                      control::LedgerClient &client,
                      telemetry::Counters &counters,
                      telemetry::Logger &logger,
                      OnDeclaration onDeclaration);

    // Sets the decoder. Without one the instance applies no declarations, only evacuations.
    void setDecoder(DeclarationDecoder decoder);
    [[nodiscard]] bool usesDeclarations() const;

    // Sets how requests reach other instances. Until then nothing is fetched.
    void setFetchSender(FetchSender sendFetch);

    // Sets what receives the revision in force and the evacuations.
    void setRevisionCallback(OnRevision onRevision);

    // Sets what is called when a control instance confirms the newest version after none did for
    // long.
    void setContactCallback(std::function<void()> onContact);

    // Reads the committed revision through the quorum until one is known, asks control instances
    // for newer ones, and requests the change to a newer revision than the held one. Call it
    // regularly.
    void tick(core::TimePoint now);

    // Notes that another instance has applied a revision, and requests it if it is newer.
    void onNotice(const proto::DeclarationNotice &notice, core::TimePoint now);

    // Returns the routes in force; never null.
    [[nodiscard]] const std::shared_ptr<const forwarding::RouteTable> &routeTable() const;

    // Returns when the routes in force came into force.
    [[nodiscard]] core::TimePoint inForceSince() const;

    // Returns whether the quorum has answered a read since the start, and the revision that it
    // named, or a newer one, is in force; with a decoder, also whether there is a declaration.
    [[nodiscard]] bool isConfirmed() const;

    // Returns whether the declaration in force may have been replaced by one that is not in force
    // here: no control instance has confirmed it as the newest for some seconds.
    [[nodiscard]] bool mayBeOld(core::TimePoint now) const;

private:
    // Returns whether the committed revision must still be read.
    [[nodiscard]] bool needsCommittedRevision() const;
    void readCommittedRevision();
    void onCommittedRevision(const absl::StatusOr<proto::ReadDeclarationReply> &reply);
    void sendNextFetch(core::TimePoint now);
    void onFetchReply(const core::InstanceId &source,
                      core::TimePoint sentAt,
                      const absl::StatusOr<proto::FetchDeclarationReply> &reply);
    // Asks a control instance for its newest version if such a question is due.
    void sendNextQuestion(core::TimePoint now);
    // Notes which revision the reply names, and until when the reply confirms that there was no
    // newer one.
    void noteVersion(const core::InstanceId &source,
                     core::TimePoint sentAt,
                     const proto::FetchDeclarationReply &reply);
    // Applies a fetched change to the held declaration and puts the result in force. If it does not
    // apply, the full content is requested instead.
    void applyChange(const proto::DeclarationChange &change, core::TimePoint now);
    // Returns the held content with the change applied.
    absl::StatusOr<std::string> contentWithChange(const proto::DeclarationChange &change) const;
    // Decodes the held declaration and makes it current. If it can't be decoded, the current one
    // stays in force.
    void putInForce();
    // Tells the revision in force and the evacuations. While the held declaration can't be decoded,
    // the revision stays and only the evacuations change.
    void putRevisionInForce();
    // Logs the version that came into force, and what it took to get it.
    void logInForce();
    // Logs and counts whether requests with allowed regions are refused because the declaration may
    // be old.
    void reportFreshness(core::TimePoint now);
    // Logs each organisation whose purchased tokens differ from those of the declaration before.
    void logPurchases(const forwarding::Declaration &before);

    control::LedgerClient &client;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    OnDeclaration onDeclaration;
    DeclarationDecoder decoder;
    FetchSender sendFetch;
    std::function<void()> onContact;
    core::SteadyClock clock;
    DeclarationFetch fetch;
    VersionWatch watch;
    DeclarationFreshness freshness;
    bool restrictsRegions = false; // The declaration in force has allowed regions.
    bool refusesRestricted = false; // As last logged.
    OnRevision onRevision;
    // Only version, content, revision and evacuations are set.
    proto::Declaration heldDeclaration;
    uint64_t revisionInForce = 0;
    uint64_t confirmedRevision = 0; // Read through the quorum; 0: none yet.
    std::shared_ptr<const forwarding::RouteTable> currentTable;
    core::TimePoint currentSince; // When the current table came into force.
    core::TimePoint lastReadAt;
    bool isReading = false;
    bool quorumAnswered = false;
};

} // namespace samphirebridge::entry
