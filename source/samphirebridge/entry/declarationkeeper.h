// The declaration in force on this instance. The quorum names its version at the start; what it
// says is fetched from control instances, as changes to what is held here.
#pragma once

#include "instance.pb.h"
#include "ledger.pb.h"
#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/entry/declarationfetch.h"
#include "samphirebridge/forwarding/routetable.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace samphirebridge::entry
{

// Reads the content of a declaration that the ledger accepted.
using DeclarationDecoder
    = std::function<absl::StatusOr<forwarding::Declaration>(const proto::Declaration &)>;

// Sends a question to an instance and hands its answer over on the control thread.
using FetchAsker
    = std::function<void(const core::InstanceId &,
                         const proto::FetchDeclarationRequest &,
                         std::function<void(absl::StatusOr<proto::FetchDeclarationReply>)>)>;

// Receives each declaration that comes into force.
using OnDeclaration = std::function<void(const forwarding::Declaration &)>;

// Versions only rise: what arrives late or twice changes nothing. Lives on the control thread.
class DeclarationKeeper
{
public:
    DeclarationKeeper(const core::InstanceId &self,
                      control::LedgerClient &client,
                      telemetry::Counters &counters,
                      telemetry::Logger &logger,
                      OnDeclaration onDeclaration);

    // Without a decoder the instance obeys no declarations.
    void setDecoder(DeclarationDecoder decoder);
    [[nodiscard]] bool obeysDeclarations() const;

    // Says how other instances are asked.
    void setAsker(FetchAsker asker);

    // Has the quorum name the version if it did not yet, and asks for what is newer than held.
    void tick(core::TimePoint now);

    // Takes note of a version that another instance has applied.
    void onNotice(const proto::DeclarationNotice &notice, core::TimePoint now);

    // Returns the routes in force; never null.
    [[nodiscard]] const std::shared_ptr<const forwarding::RouteTable> &table() const;

    // Tells whether the quorum named a declaration since the start, and that or a newer one is in
    // force.
    [[nodiscard]] bool confirmed() const;

private:
    void read();
    void onRead(const absl::StatusOr<proto::ReadDeclarationReply> &reply);
    void fetchNext(core::TimePoint now);
    void onPart(const absl::StatusOr<proto::FetchDeclarationReply> &reply);
    void take(const proto::DeclarationChange &change, core::TimePoint now);
    absl::StatusOr<std::string> contentAfter(const proto::DeclarationChange &change) const;
    void putInForce();

    control::LedgerClient &client;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    OnDeclaration onDeclaration;
    DeclarationDecoder decoder;
    FetchAsker asker;
    core::SteadyClock clock;
    DeclarationFetch fetch;
    proto::Declaration held; // Version and content alone.
    uint64_t confirmedVersion = 0; // As the quorum named it.
    std::shared_ptr<const forwarding::RouteTable> current;
    core::TimePoint lastRead;
    bool reading = false;
    bool wasConfirmed = false;
};

} // namespace samphirebridge::entry
