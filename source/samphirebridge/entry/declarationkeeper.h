// The declaration in force on this instance: read through the quorum at the start, then taken from
// whichever control instance tells of a newer one.
#pragma once

#include "ledger.pb.h"
#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/forwarding/routetable.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace samphirebridge::entry
{

// Reads the content of a declaration that the ledger accepted.
using DeclarationDecoder
    = std::function<absl::StatusOr<forwarding::Declaration>(const proto::Declaration &)>;

// Receives each declaration that comes into force.
using OnDeclaration = std::function<void(const forwarding::Declaration &)>;

// Versions only rise: what arrives late or twice changes nothing. Lives on the control thread.
class DeclarationKeeper
{
public:
    DeclarationKeeper(control::LedgerClient &client,
                      telemetry::Counters &counters,
                      telemetry::Logger &logger,
                      OnDeclaration onDeclaration);

    // Without a decoder the instance obeys no declarations.
    void setDecoder(DeclarationDecoder decoder);
    [[nodiscard]] bool obeysDeclarations() const;

    // Reads the declaration if none was confirmed yet.
    void tick(core::TimePoint now);

    // Takes a committed declaration that another instance told of.
    void take(const proto::Declaration &declaration);

    // Returns the routes in force; never null.
    [[nodiscard]] const std::shared_ptr<const forwarding::RouteTable> &table() const;

    // Tells whether the quorum named the newest declaration since the start, and there is one.
    [[nodiscard]] bool confirmed() const;

private:
    void read();
    void onReply(absl::StatusOr<proto::ReadDeclarationReply> reply);

    control::LedgerClient &client;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    OnDeclaration onDeclaration;
    DeclarationDecoder decoder;
    std::shared_ptr<const forwarding::RouteTable> current;
    core::TimePoint lastRead;
    bool reading = false;
    bool wasConfirmed = false;
};

} // namespace samphirebridge::entry
