#include "samphirebridge/control/ledgerclient.h"

#include "samphirebridge/core/errors.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphirebridge::control
{

namespace
{

// The time that one instance gets to answer before the next is asked.
constexpr core::Duration AttemptTimeout = std::chrono::milliseconds(800);

// The pause after an instance that does not lead and knows no leader.
constexpr core::Duration RetryPause = std::chrono::milliseconds(50);

// How each kind of call is sent, and what counts as its end.
struct SubmitProtocol {
    // Whether a call without a reply may have had an effect.
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

    static bool mayHaveActed(const Reply &reply)
    {
        return reply.status() != Reply::NOT_LEADER;
    }
};

// Reads differ only in their types and in the function that carries them.
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

    static bool mayHaveActed(const Reply & /*reply*/)
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

template <typename Protocol>
struct LedgerClient::Attempt {
    typename Protocol::Request request;
    core::TimePoint deadline;
    std::function<void(absl::StatusOr<typename Protocol::Reply>)> done;
    bool mayHaveActed = false;
    // Set after a hint was followed, so that two instances that name each other cause no storm.
    bool followedHint = false;
};

LedgerClient::LedgerClient(core::InstanceId ownId,
                           std::vector<core::InstanceId> controlInstances,
                           transport::PeerSet &peerSet,
                           runtime::TaskQueue &taskQueue)
    : self(std::move(ownId))
    , control(std::move(controlInstances))
    , peers(peerSet)
    , queue(taskQueue)
{
}

void LedgerClient::setLocal(LocalControl localControl)
{
    this->local = std::move(localControl);
}

const std::vector<core::InstanceId> &LedgerClient::controlInstances() const
{
    return this->control;
}

void LedgerClient::setControl(std::vector<core::InstanceId> instances)
{
    this->control = std::move(instances);
}

void LedgerClient::submit(const proto::Command &command, core::Duration timeout, OnResult onResult)
{
    proto::SubmitRequest request;
    *request.mutable_command() = command;
    this->start<SubmitProtocol>(
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
    this->start<ManifestProtocol>(std::move(request), timeout, std::move(onReply));
}

void LedgerClient::readDeclaration(uint64_t knownVersion,
                                   core::Duration timeout,
                                   transport::OnReply<proto::ReadDeclarationReply> onReply)
{
    proto::ReadDeclarationRequest request;
    request.set_known_version(knownVersion);
    this->start<DeclarationProtocol>(std::move(request), timeout, std::move(onReply));
}

void LedgerClient::readBudgets(const proto::ReadBudgetsRequest &request,
                               core::Duration timeout,
                               transport::OnReply<proto::ReadBudgetsReply> onReply)
{
    this->start<BudgetsProtocol>(request, timeout, std::move(onReply));
}

void LedgerClient::readStatus(core::Duration timeout,
                              transport::OnReply<proto::ReadStatusReply> onReply)
{
    this->start<StatusProtocol>({}, timeout, std::move(onReply));
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
void LedgerClient::start(typename Protocol::Request request,
                         core::Duration timeout,
                         std::function<void(absl::StatusOr<typename Protocol::Reply>)> done)
{
    auto attempt = std::make_shared<Attempt<Protocol>>();
    attempt->request = std::move(request);
    attempt->deadline = this->clock.now() + timeout;
    attempt->done = std::move(done);
    this->proceed<Protocol>(attempt);
}

template <typename Protocol>
void LedgerClient::proceed(const std::shared_ptr<Attempt<Protocol>> &attempt)
{
    const core::Duration left = attempt->deadline - this->clock.now();
    if (left <= core::Duration::zero()) {
        const auto code
            = attempt->mayHaveActed ? core::ErrorCode::OutcomeUnknown : core::ErrorCode::NoQuorum;
        attempt->done(core::makeError(code, "no leader confirmed within the time given"));
        return;
    }
    const core::InstanceId next = this->nextInstance();
    // Replies arrive on other threads; they continue on the control thread.
    // The queue outlives this client, whose last calls may end while the process does.
    auto carryOn =
        [this, &taskQueue = this->queue, attempt](absl::StatusOr<typename Protocol::Reply> reply) {
            taskQueue.post([this, attempt, reply = std::move(reply)]() mutable {
                this->onReply<Protocol>(attempt, std::move(reply));
            });
        };
    if (next == this->self && Protocol::localCall(this->local)) {
        Protocol::localCall(this->local)(
            attempt->request,
            [carryOn](typename Protocol::Reply reply) { carryOn(std::move(reply)); });
        return;
    }
    transport::PeerChannel *channel = this->peers.channelTo(next);
    if (channel == nullptr) {
        carryOn(core::makeError(core::ErrorCode::Unreachable, "not among the peers"));
        return;
    }
    Protocol::remoteCall(*channel, attempt->request, std::min(left, AttemptTimeout), carryOn);
}

template <typename Protocol>
void LedgerClient::onReply(const std::shared_ptr<Attempt<Protocol>> &attempt,
                           absl::StatusOr<typename Protocol::Reply> reply)
{
    if (!reply.ok()) {
        attempt->mayHaveActed = Protocol::ChangesState;
        this->hint = {};
        this->knownLeader = {};
    } else if (Protocol::isFinal(*reply)) {
        this->noteLeader(reply->leader_instance());
        attempt->done(std::move(reply));
        return;
    } else {
        attempt->mayHaveActed = attempt->mayHaveActed || Protocol::mayHaveActed(*reply);
        const bool known = !reply->leader_instance().empty();
        this->hint = core::InstanceId(reply->leader_instance());
        this->knownLeader = {};
        const bool follow = known && this->hint != this->self && !attempt->followedHint;
        attempt->followedHint = follow;
        if (follow) {
            this->proceed<Protocol>(attempt);
            return;
        }
    }
    this->queue.postAt(this->clock.now() + RetryPause,
                       [this, attempt] { this->proceed<Protocol>(attempt); });
}

core::InstanceId LedgerClient::nextInstance()
{
    if (!this->hint.empty()) {
        return std::exchange(this->hint, {});
    }
    if (!this->knownLeader.empty()) {
        return this->knownLeader;
    }
    if (this->control.empty()) {
        return {};
    }
    return this->control[this->turn++ % this->control.size()];
}

void LedgerClient::noteLeader(const std::string &instance)
{
    if (!instance.empty()) {
        this->knownLeader = core::InstanceId(instance);
    }
}

} // namespace samphirebridge::control
