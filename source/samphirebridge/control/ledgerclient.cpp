#include "samphirebridge/control/ledgerclient.h"

#include "samphirebridge/core/errors.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphirebridge::control
{

namespace
{

// An instance that has not replied within this time counts as unreachable.
constexpr core::Duration AttemptTimeout = std::chrono::milliseconds(800);

// The pause before another instance is tried, after one that failed or could not name the leader.
constexpr core::Duration RetryPause = std::chrono::milliseconds(50);

// A protocol describes one kind of call: its types, how it is sent to the own voter or to a peer,
// and which replies are final.
struct SubmitProtocol {
    // Whether a call that failed without a reply may have changed the ledger.
    static constexpr bool ChangesState = true;
    using Request = proto::SubmitRequest;
    using Reply = proto::SubmitReply;

    static auto &localCall(LocalControl &local)
    {
        return local.submit;
    }

    static void remoteCall(transport::PeerChannel &channel,
                           const Request &request,
                           core::Duration timeout,
                           transport::OnReply<Reply> onReply)
    {
        channel.submit(request, timeout, std::move(onReply));
    }

    static bool isFinal(const Reply &reply)
    {
        return reply.status() == Reply::APPLIED;
    }

    static bool mayHaveTakenEffect(const Reply &reply)
    {
        return reply.status() != Reply::NOT_LEADER;
    }
};

// The protocol of the reads, which differ only in their types and member functions.
template <typename RequestType, typename ReplyType, auto LocalMember, auto ChannelMember>
struct ReadProtocol {
    static constexpr bool ChangesState = false;
    using Request = RequestType;
    using Reply = ReplyType;

    static auto &localCall(LocalControl &local)
    {
        return local.*LocalMember;
    }

    static void remoteCall(transport::PeerChannel &channel,
                           const Request &request,
                           core::Duration timeout,
                           transport::OnReply<Reply> onReply)
    {
        (channel.*ChannelMember)(request, timeout, std::move(onReply));
    }

    static bool isFinal(const Reply &reply)
    {
        return reply.confirmed();
    }

    static bool mayHaveTakenEffect(const Reply & /*reply*/)
    {
        return false;
    }
};

using ManifestProtocol = ReadProtocol<proto::ReadManifestRequest,
                                      proto::ReadManifestReply,
                                      &LocalControl::readManifest,
                                      &transport::PeerChannel::readManifest>;
using DeclarationProtocol = ReadProtocol<proto::ReadDeclarationRequest,
                                         proto::ReadDeclarationReply,
                                         &LocalControl::readDeclaration,
                                         &transport::PeerChannel::readDeclaration>;
using BudgetsProtocol = ReadProtocol<proto::ReadBudgetsRequest,
                                     proto::ReadBudgetsReply,
                                     &LocalControl::readBudgets,
                                     &transport::PeerChannel::readBudgets>;
using StatusProtocol = ReadProtocol<proto::ReadStatusRequest,
                                    proto::ReadStatusReply,
                                    &LocalControl::readStatus,
                                    &transport::PeerChannel::readStatus>;

} // namespace

// A call that waits for its final reply, and may have been sent to several instances.
template <typename Protocol>
struct LedgerClient::PendingCall {
    typename Protocol::Request request;
    core::TimePoint deadline;
    std::function<void(absl::StatusOr<typename Protocol::Reply>)> onDone;
    bool mayHaveTakenEffect = false;
    // Whether the last instance asked was one that another had named as the leader. Two instances
    // that name each other are then not asked in a loop without a pause.
    bool followedHint = false;
};

LedgerClient::LedgerClient(core::InstanceId ownId,
                           std::vector<core::InstanceId> controlInstances,
                           transport::PeerSet &peerSet,
                           runtime::TaskQueue &tasks)
    : ownInstance(std::move(ownId))
    , controlIds(std::move(controlInstances))
    , peers(peerSet)
    , queue(tasks)
{
}

void LedgerClient::setLocalControl(LocalControl localControl)
{
    this->local = std::move(localControl);
}

const std::vector<core::InstanceId> &LedgerClient::controlInstances() const
{
    return this->controlIds;
}

void LedgerClient::setControlInstances(std::vector<core::InstanceId> instances)
{
    this->controlIds = std::move(instances);
}

void LedgerClient::submit(const proto::Command &command, core::Duration timeout, OnResult onResult)
{
    proto::SubmitRequest request;
    *request.mutable_command() = command;
    this->startCall<SubmitProtocol>(
        std::move(request), timeout, [onResult = std::move(onResult)](auto reply) {
            if (!reply.ok()) {
                onResult(reply.status());
                return;
            }
            onResult(std::move(*reply->mutable_result()));
        });
}

void LedgerClient::readManifest(uint64_t knownVersion,
                                core::Duration timeout,
                                transport::OnReply<proto::ReadManifestReply> onReply)
{
    proto::ReadManifestRequest request;
    request.set_known_version(knownVersion);
    this->startCall<ManifestProtocol>(std::move(request), timeout, std::move(onReply));
}

void LedgerClient::readDeclaration(uint64_t knownVersion,
                                   core::Duration timeout,
                                   transport::OnReply<proto::ReadDeclarationReply> onReply)
{
    proto::ReadDeclarationRequest request;
    request.set_known_version(knownVersion);
    this->startCall<DeclarationProtocol>(std::move(request), timeout, std::move(onReply));
}

void LedgerClient::readBudgets(const proto::ReadBudgetsRequest &request,
                               core::Duration timeout,
                               transport::OnReply<proto::ReadBudgetsReply> onReply)
{
    this->startCall<BudgetsProtocol>(request, timeout, std::move(onReply));
}

void LedgerClient::readStatus(core::Duration timeout,
                              transport::OnReply<proto::ReadStatusReply> onReply)
{
    this->startCall<StatusProtocol>({}, timeout, std::move(onReply));
}

const proto::Declaration *LedgerClient::appliedDeclaration() const
{
    return this->local.appliedDeclaration ? &this->local.appliedDeclaration() : nullptr;
}

const core::InstanceId &LedgerClient::leader() const
{
    return this->knownLeader;
}

template <typename Protocol>
void LedgerClient::startCall(typename Protocol::Request request,
                             core::Duration timeout,
                             std::function<void(absl::StatusOr<typename Protocol::Reply>)> onDone)
{
    auto call = std::make_shared<PendingCall<Protocol>>();
    call->request = std::move(request);
    call->deadline = this->clock.now() + timeout;
    call->onDone = std::move(onDone);
    this->askNextInstance<Protocol>(call);
}

template <typename Protocol>
void LedgerClient::askNextInstance(const std::shared_ptr<PendingCall<Protocol>> &call)
{
    const core::Duration remaining = call->deadline - this->clock.now();
    if (remaining <= core::Duration::zero()) {
        const auto code = call->mayHaveTakenEffect ? core::ErrorCode::OutcomeUnknown
                                                   : core::ErrorCode::NoQuorum;
        call->onDone(core::makeError(code, "no leader confirmed the call before its deadline"));
        return;
    }
    const core::InstanceId instance = this->chooseInstance();
    // Replies arrive on other threads, and the call continues on the control thread. The queue is
    // captured on its own, since the last replies may arrive while this client is being destroyed.
    auto continueCall
        = [this, &tasks = this->queue, call](absl::StatusOr<typename Protocol::Reply> reply) {
              tasks.post([this, call, reply = std::move(reply)]() mutable {
                  this->onReply<Protocol>(call, std::move(reply));
              });
          };
    if (instance == this->ownInstance && Protocol::localCall(this->local)) {
        Protocol::localCall(this->local)(
            call->request,
            [continueCall](typename Protocol::Reply reply) { continueCall(std::move(reply)); });
        return;
    }
    transport::PeerChannel *channel = this->peers.channelTo(instance);
    if (channel == nullptr) {
        continueCall(
            core::makeError(core::ErrorCode::Unreachable, "the instance is not among the peers"));
        return;
    }
    Protocol::remoteCall(
        *channel, call->request, std::min(remaining, AttemptTimeout), continueCall);
}

template <typename Protocol>
void LedgerClient::onReply(const std::shared_ptr<PendingCall<Protocol>> &call,
                           absl::StatusOr<typename Protocol::Reply> reply)
{
    if (!reply.ok()) {
        call->mayHaveTakenEffect = Protocol::ChangesState;
        this->leaderHint = {};
        this->knownLeader = {};
    } else if (Protocol::isFinal(*reply)) {
        this->rememberLeader(reply->leader_instance());
        call->onDone(std::move(reply));
        return;
    } else {
        call->mayHaveTakenEffect = call->mayHaveTakenEffect || Protocol::mayHaveTakenEffect(*reply);
        const bool namesLeader = !reply->leader_instance().empty();
        this->leaderHint = core::InstanceId(reply->leader_instance());
        this->knownLeader = {};
        const bool followsHint
            = namesLeader && this->leaderHint != this->ownInstance && !call->followedHint;
        call->followedHint = followsHint;
        if (followsHint) {
            this->askNextInstance<Protocol>(call);
            return;
        }
    }
    this->queue.postAt(this->clock.now() + RetryPause,
                       [this, call] { this->askNextInstance<Protocol>(call); });
}

core::InstanceId LedgerClient::chooseInstance()
{
    if (!this->leaderHint.empty()) {
        return std::exchange(this->leaderHint, {});
    }
    if (!this->knownLeader.empty()) {
        return this->knownLeader;
    }
    if (this->controlIds.empty()) {
        return {};
    }
    return this->controlIds[this->nextControlIndex++ % this->controlIds.size()];
}

void LedgerClient::rememberLeader(const std::string &instance)
{
    if (!instance.empty()) {
        this->knownLeader = core::InstanceId(instance);
    }
}

} // namespace samphirebridge::control
