// The client side of one other instance.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/telemetry/counters.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace samphirebridge::proto
{
class ChangeVotersReply;
class ChangeVotersRequest;
class Envelope;
class FetchDeclarationReply;
class FetchDeclarationRequest;
class IsolationNotice;
class IsolationReply;
class LoanReply;
class LoanRequest;
class ReadBudgetsReply;
class ReadBudgetsRequest;
class ReadDeclarationReply;
class ReadDeclarationRequest;
class ReadManifestReply;
class ReadManifestRequest;
class ReadStatusReply;
class ReadStatusRequest;
class SubmitReply;
class SubmitRequest;
} // namespace samphirebridge::proto

namespace samphirebridge::transport
{

// Receives a call's reply or, as Unreachable or Timeout, why there is none. Runs on a thread of
// gRPC's. After a Timeout the other side may have acted.
template <typename Reply>
using OnReply = std::function<void(absl::StatusOr<Reply>)>;

// Sends messages and calls to one instance. Messages that are put in while one is on its way
// travel together with the next one, up to a size, so that a busy link needs few of them and a slow
// one lets each through. Thread-safe.
class PeerChannel
{
public:
    PeerChannel(std::string_view address, telemetry::Counters &counters);
    PeerChannel(const PeerChannel &) = delete;
    PeerChannel &operator=(const PeerChannel &) = delete;
    // Cancels the calls under way and waits until their replies were handed over.
    ~PeerChannel();

    // Queues one-way messages. They may be lost; the oldest are dropped if the peer does not keep
    // up.
    void deliver(const proto::Envelope &envelope);

    void submit(const proto::SubmitRequest &request,
                core::Duration timeout,
                OnReply<proto::SubmitReply> onReply);
    void readManifest(const proto::ReadManifestRequest &request,
                      core::Duration timeout,
                      OnReply<proto::ReadManifestReply> onReply);
    void readDeclaration(const proto::ReadDeclarationRequest &request,
                         core::Duration timeout,
                         OnReply<proto::ReadDeclarationReply> onReply);
    void fetchDeclaration(const proto::FetchDeclarationRequest &request,
                          core::Duration timeout,
                          OnReply<proto::FetchDeclarationReply> onReply);
    void readBudgets(const proto::ReadBudgetsRequest &request,
                     core::Duration timeout,
                     OnReply<proto::ReadBudgetsReply> onReply);
    void readStatus(const proto::ReadStatusRequest &request,
                    core::Duration timeout,
                    OnReply<proto::ReadStatusReply> onReply);
    void witness(const proto::IsolationNotice &notice,
                 core::Duration timeout,
                 OnReply<proto::IsolationReply> onReply);
    void lend(const proto::LoanRequest &request,
              core::Duration timeout,
              OnReply<proto::LoanReply> onReply);
    void changeVoters(const proto::ChangeVotersRequest &request,
                      core::Duration timeout,
                      OnReply<proto::ChangeVotersReply> onReply);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace samphirebridge::transport
