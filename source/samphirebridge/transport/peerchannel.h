// The gRPC client for one other instance.
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

// Receives a call's reply or the error Unreachable or Timeout. Runs on one of gRPC's threads, or on
// the caller's if the channel is being closed. After an error the peer may still have executed the
// call.
template <typename Reply>
using OnReply = std::function<void(absl::StatusOr<Reply>)>;

// Sends one-way messages and calls to one instance. One envelope of messages is sent at a time;
// messages that are queued meanwhile are merged into envelopes of a bounded size, so that a busy
// link carries few envelopes and a slow one delivers each within its timeout. Thread-safe.
class PeerChannel
{
public:
    PeerChannel(std::string_view address, telemetry::Counters &counters);
    PeerChannel(const PeerChannel &) = delete;
    PeerChannel &operator=(const PeerChannel &) = delete;
    // Cancels the pending calls and waits until their callbacks have run.
    ~PeerChannel();

    // Queues one-way messages. They may be lost; the oldest are dropped if the peer receives them
    // too slowly.
    void deliver(const proto::Envelope &envelope);

    // Each of the following calls the method of the same name of proto::InstanceService; onReply
    // runs exactly once.
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
