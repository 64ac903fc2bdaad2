#include "samphirebridge/transport/peerchannel.h"

#include "instance.grpc.pb.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/transport/grpclifetime.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <utility>

namespace samphirebridge::transport
{

namespace
{

// The deadline of an envelope. Its messages are not retried here: Raft and anti-entropy repeat
// theirs.
constexpr std::chrono::milliseconds DeliveryTimeout{1000};

// The largest number of messages of one kind in an envelope.
constexpr int MaximumMessagesPerField = 512;

// The largest size of an envelope of merged messages, in bytes; a larger message is sent alone. A
// slow link must be able to carry an envelope well within its deadline, or all of its messages are
// lost.
constexpr size_t MaximumEnvelopeBytes = size_t{64} * 1024;

// The largest number of envelopes queued for a slow peer; the oldest are dropped.
constexpr size_t MaximumQueuedEnvelopes = 32;

// The time after which an idle connection is probed, and after which it is closed if the probe is
// not answered: a broken connection may show no reset.
constexpr int KeepAliveMs = 1500;

// Bounds of the back-off between attempts to connect, in milliseconds.
constexpr int MinimumReconnectMs = 50;
constexpr int MaximumReconnectMs = 500;

// The largest reply that is accepted, in bytes.
constexpr int MaximumMessageBytes = 64 * 1024 * 1024;

grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, MinimumReconnectMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MinimumReconnectMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaximumReconnectMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepAliveMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepAliveMs);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxReceiveMessageSize(MaximumMessageBytes);
    return arguments;
}

absl::Status errorOf(const grpc::Status &status)
{
    const bool timedOut = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    return core::makeError(timedOut ? core::ErrorCode::Timeout : core::ErrorCode::Unreachable,
                           status.error_message());
}

// Counts the calls whose context or buffers gRPC may still use.
class CallCounter
{
public:
    void add()
    {
        const std::lock_guard lock(this->mutex);
        ++this->count;
    }

    void remove()
    {
        // Notifies under the lock, since the waiting thread may destroy this object once it is
        // released.
        const std::lock_guard lock(this->mutex);
        --this->count;
        this->noneLeft.notify_all();
    }

    void waitForNone()
    {
        std::unique_lock lock(this->mutex);
        this->noneLeft.wait(lock, [this] { return this->count == 0; });
    }

private:
    std::mutex mutex;
    std::condition_variable noneLeft;
    size_t count = 0;
};

// Counts a call for as long as this object exists.
class CountedCall
{
public:
    explicit CountedCall(CallCounter &callCounter)
        : counter(callCounter)
    {
        this->counter.add();
    }

    ~CountedCall()
    {
        this->counter.remove();
    }

    CountedCall(const CountedCall &) = delete;
    CountedCall &operator=(const CountedCall &) = delete;

private:
    CallCounter &counter;
};

// The state of one asynchronous call. gRPC may release it only some time after the callback has
// run.
template <typename Request, typename Reply>
struct Call {
    explicit Call(CallCounter &counter)
        : counted(counter)
    {
    }

    CountedCall counted; // First, so that it is destroyed last: the context refers to the channel.
    grpc::ClientContext context;
    Request request;
    Reply reply;
    OnReply<Reply> onReply;
};

// Removes the oldest messages of a field that holds more than MaximumMessagesPerField.
template <typename Field>
void dropOldest(Field *field)
{
    const int surplus = field->size() - MaximumMessagesPerField;
    if (surplus > 0) {
        field->DeleteSubrange(0, surplus);
    }
}

} // namespace

struct PeerChannel::State {
    State(std::string_view address, telemetry::Counters &processCounters)
        : counters(processCounters)
        , stub(proto::InstanceService::NewStub(grpc::CreateCustomChannel(
              std::string(address), grpc::InsecureChannelCredentials(), channelArguments())))
    {
    }

    // Starts a call by `start`, which invokes the gRPC method; onReply runs when the call ends.
    template <typename Request, typename Reply, typename Start>
    void
    call(const Request &request, core::Duration timeout, OnReply<Reply> onReply, const Start &start)
    {
        auto pending = std::make_shared<Call<Request, Reply>>(this->calls);
        pending->request = request;
        pending->onReply = std::move(onReply);
        pending->context.set_deadline(std::chrono::system_clock::now() + timeout);
        if (!this->addActive(pending->context)) {
            pending->onReply(
                core::makeError(core::ErrorCode::Unreachable, "the channel is being closed"));
            return;
        }
        const size_t bytes = request.ByteSizeLong();
        this->countSent(bytes);
        start(
            this->stub->async(), pending.get(), [this, pending, bytes](const grpc::Status &status) {
                if (status.ok()) {
                    pending->onReply(std::move(pending->reply));
                } else {
                    this->countFailed(bytes);
                    pending->onReply(errorOf(status));
                }
                this->removeActive(pending->context);
            });
    }

    void countSent(size_t bytes)
    {
        this->counters.count(telemetry::Event::ControlMessagesSent);
        this->counters.count(telemetry::Event::ControlBytesSent, static_cast<double>(bytes));
    }

    void countFailed(size_t bytes)
    {
        this->counters.count(telemetry::Event::ControlMessagesFailed);
        this->counters.count(telemetry::Event::ControlBytesFailed, static_cast<double>(bytes));
    }

    // Registers a call so that close() can cancel it. Returns false if the channel is closed.
    bool addActive(grpc::ClientContext &context)
    {
        const std::lock_guard lock(this->mutex);
        if (this->closed) {
            return false;
        }
        this->activeContexts.insert(&context);
        return true;
    }

    // Removes a call that has ended.
    void removeActive(grpc::ClientContext &context)
    {
        const std::lock_guard lock(this->mutex);
        this->activeContexts.erase(&context);
    }

    // Refuses further calls, cancels the pending ones and waits until gRPC has released all of
    // them.
    void close()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->closed = true;
            for (grpc::ClientContext *context : this->activeContexts) {
                context->TryCancel();
            }
        }
        this->calls.waitForNone();
    }

    // Sends the oldest queued envelope unless another one is being sent.
    void sendNextEnvelope()
    {
        auto pending = std::make_shared<Call<proto::Envelope, proto::EnvelopeReply>>(this->calls);
        {
            const std::lock_guard lock(this->mutex);
            if (this->sending || this->closed || this->queue.empty()) {
                return;
            }
            this->sending = true;
            this->activeContexts.insert(&pending->context);
            pending->request.Swap(&this->queue.front().envelope);
            this->counters.observe(telemetry::Latency::MessageWait,
                                   this->clock.now() - this->queue.front().queuedAt);
            this->queue.pop_front();
        }
        pending->context.set_deadline(std::chrono::system_clock::now() + DeliveryTimeout);
        const size_t bytes = pending->request.ByteSizeLong();
        this->countSent(bytes);
        const core::TimePoint sentAt = this->clock.now();
        this->stub->async()->Deliver(&pending->context,
                                     &pending->request,
                                     &pending->reply,
                                     [this, pending, bytes, sentAt](const grpc::Status &status) {
                                         this->counters.observe(telemetry::Latency::MessageDelivery,
                                                                this->clock.now() - sentAt);
                                         if (!status.ok()) {
                                             this->countFailed(bytes);
                                         }
                                         this->onDelivered(pending->context);
                                     });
    }

    void onDelivered(grpc::ClientContext &context)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->sending = false;
            this->activeContexts.erase(&context);
        }
        this->sendNextEnvelope();
    }

    // Merges the messages into the last queued envelope, or queues a new one if that would exceed
    // MaximumEnvelopeBytes. The caller holds the lock.
    void enqueue(const proto::Envelope &envelope)
    {
        const size_t bytes = envelope.ByteSizeLong();
        if (this->queue.empty() || this->queue.back().bytes + bytes > MaximumEnvelopeBytes) {
            this->queue.push_back({{}, 0, this->clock.now()});
        }
        QueuedEnvelope &last = this->queue.back();
        last.bytes += bytes;
        last.envelope.MergeFrom(envelope);
        dropOldest(last.envelope.mutable_raft());
        dropOldest(last.envelope.mutable_updates());
        dropOldest(last.envelope.mutable_digests());
        if (this->queue.size() > MaximumQueuedEnvelopes) {
            this->queue.pop_front();
        }
    }

    // Merged messages that wait to be sent.
    struct QueuedEnvelope {
        proto::Envelope envelope;
        size_t bytes = 0; // The size of all messages merged, also of those dropped since.
        core::TimePoint queuedAt; // When the first message was queued.
    };

    GrpcLifetime grpcLifetime; // First, so that it is destroyed after the channel.
    telemetry::Counters &counters;
    std::unique_ptr<proto::InstanceService::Stub> stub;
    CallCounter calls;
    std::mutex mutex;
    core::SteadyClock clock;
    std::deque<QueuedEnvelope> queue; // Oldest first.
    std::set<grpc::ClientContext *> activeContexts;
    bool sending = false;
    bool closed = false;
};

PeerChannel::PeerChannel(std::string_view address, telemetry::Counters &counters)
    : state(std::make_unique<State>(address, counters))
{
}

PeerChannel::~PeerChannel()
{
    this->state->close();
}

void PeerChannel::deliver(const proto::Envelope &envelope)
{
    {
        const std::lock_guard lock(this->state->mutex);
        this->state->enqueue(envelope);
    }
    this->state->sendNextEnvelope();
}

void PeerChannel::submit(const proto::SubmitRequest &request,
                         core::Duration timeout,
                         OnReply<proto::SubmitReply> onReply)
{
    this->state->call<proto::SubmitRequest, proto::SubmitReply>(
        request, timeout, std::move(onReply), [](auto *async, auto *call, auto done) {
            async->Submit(&call->context, &call->request, &call->reply, std::move(done));
        });
}

void PeerChannel::readManifest(const proto::ReadManifestRequest &request,
                               core::Duration timeout,
                               OnReply<proto::ReadManifestReply> onReply)
{
    this->state->call<proto::ReadManifestRequest, proto::ReadManifestReply>(
        request, timeout, std::move(onReply), [](auto *async, auto *call, auto done) {
            async->ReadManifest(&call->context, &call->request, &call->reply, std::move(done));
        });
}

void PeerChannel::readDeclaration(const proto::ReadDeclarationRequest &request,
                                  core::Duration timeout,
                                  OnReply<proto::ReadDeclarationReply> onReply)
{
    this->state->call<proto::ReadDeclarationRequest, proto::ReadDeclarationReply>(
        request, timeout, std::move(onReply), [](auto *async, auto *call, auto done) {
            async->ReadDeclaration(&call->context, &call->request, &call->reply, std::move(done));
        });
}

void PeerChannel::fetchDeclaration(const proto::FetchDeclarationRequest &request,
                                   core::Duration timeout,
                                   OnReply<proto::FetchDeclarationReply> onReply)
{
    this->state->call<proto::FetchDeclarationRequest, proto::FetchDeclarationReply>(
        request, timeout, std::move(onReply), [](auto *async, auto *call, auto done) {
            async->FetchDeclaration(&call->context, &call->request, &call->reply, std::move(done));
        });
}

void PeerChannel::readBudgets(const proto::ReadBudgetsRequest &request,
                              core::Duration timeout,
                              OnReply<proto::ReadBudgetsReply> onReply)
{
    this->state->call<proto::ReadBudgetsRequest, proto::ReadBudgetsReply>(
        request, timeout, std::move(onReply), [](auto *async, auto *call, auto done) {
            async->ReadBudgets(&call->context, &call->request, &call->reply, std::move(done));
        });
}

void PeerChannel::readStatus(const proto::ReadStatusRequest &request,
                             core::Duration timeout,
                             OnReply<proto::ReadStatusReply> onReply)
{
    this->state->call<proto::ReadStatusRequest, proto::ReadStatusReply>(
        request, timeout, std::move(onReply), [](auto *async, auto *call, auto done) {
            async->ReadStatus(&call->context, &call->request, &call->reply, std::move(done));
        });
}

void PeerChannel::witness(const proto::IsolationNotice &notice,
                          core::Duration timeout,
                          OnReply<proto::IsolationReply> onReply)
{
    this->state->call<proto::IsolationNotice, proto::IsolationReply>(
        notice, timeout, std::move(onReply), [](auto *async, auto *call, auto done) {
            async->Witness(&call->context, &call->request, &call->reply, std::move(done));
        });
}

void PeerChannel::lend(const proto::LoanRequest &request,
                       core::Duration timeout,
                       OnReply<proto::LoanReply> onReply)
{
    this->state->call<proto::LoanRequest, proto::LoanReply>(
        request, timeout, std::move(onReply), [](auto *async, auto *call, auto done) {
            async->Lend(&call->context, &call->request, &call->reply, std::move(done));
        });
}

void PeerChannel::changeVoters(const proto::ChangeVotersRequest &request,
                               core::Duration timeout,
                               OnReply<proto::ChangeVotersReply> onReply)
{
    this->state->call<proto::ChangeVotersRequest, proto::ChangeVotersReply>(
        request, timeout, std::move(onReply), [](auto *async, auto *call, auto done) {
            async->ChangeVoters(&call->context, &call->request, &call->reply, std::move(done));
        });
}

} // namespace samphirebridge::transport
