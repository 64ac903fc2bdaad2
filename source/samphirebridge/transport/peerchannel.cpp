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

// Time after which a message is given up; Raft and anti-entropy send anew.
constexpr std::chrono::milliseconds DeliverTimeout{1000};

// Messages of one kind that travel together.
constexpr int MaximumTogether = 512;

// Messages travel together up to this size, in bytes; a larger one travels alone. What is sent must
// get through a slow link well within the timeout, or it would be given up as a whole.
constexpr size_t EnvelopeBytes = size_t{64} * 1024;

// Envelopes that wait for a peer that does not keep up.
constexpr size_t MaximumQueuedEnvelopes = 32;

// An idle connection is probed after this silence, and given up when the probe stays unanswered
// for as long again: a connection may fall silent without a reset.
constexpr int KeepAliveMs = 1500;

// Bounds of the pause between attempts to connect, in milliseconds.
constexpr int MinimumReconnectMs = 50;
constexpr int MaximumReconnectMs = 500;

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

// Counts the calls that gRPC still holds something of.
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
        // Told under the lock: who waits may destroy this object at once.
        const std::lock_guard lock(this->mutex);
        --this->count;
        this->ended.notify_all();
    }

    void waitForNone()
    {
        std::unique_lock lock(this->mutex);
        this->ended.wait(lock, [this] { return this->count == 0; });
    }

private:
    std::mutex mutex;
    std::condition_variable ended;
    size_t count = 0;
};

// One counted call.
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

// Everything that one asynchronous call needs until it ends. gRPC lets go of it some time after the
// reply was handed over.
template <typename Request, typename Reply>
struct Call {
    explicit Call(CallCounter &counter)
        : counted(counter)
    {
    }

    CountedCall counted; // First, so that it goes last: the context holds on to the channel.
    grpc::ClientContext context;
    Request request;
    Reply reply;
    OnReply<Reply> onReply;
};

// Keeps the newest messages of a field that holds too many.
template <typename Field>
void dropOldest(Field *field)
{
    const int surplus = field->size() - MaximumTogether;
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

    // Starts a call whose state lives until its reply came.
    template <typename Request, typename Reply, typename Start>
    void
    call(const Request &request, core::Duration timeout, OnReply<Reply> onReply, const Start &start)
    {
        auto pending = std::make_shared<Call<Request, Reply>>(this->calls);
        pending->request = request;
        pending->onReply = std::move(onReply);
        pending->context.set_deadline(std::chrono::system_clock::now() + timeout);
        if (!this->begin(pending->context)) {
            pending->onReply(core::makeError(core::ErrorCode::Unreachable, "shutting down"));
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
                this->end(pending->context);
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

    // Notes a call under way. False: the channel is closed.
    bool begin(grpc::ClientContext &context)
    {
        const std::lock_guard lock(this->mutex);
        if (this->closed) {
            return false;
        }
        this->active.insert(&context);
        return true;
    }

    void end(grpc::ClientContext &context)
    {
        const std::lock_guard lock(this->mutex);
        this->active.erase(&context);
    }

    // Cancels what is under way and waits until gRPC has let go of every call.
    void close()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->closed = true;
            for (grpc::ClientContext *context : this->active) {
                context->TryCancel();
            }
        }
        this->calls.waitForNone();
    }

    // Sends what is queued unless a message is on its way.
    void sendNext()
    {
        auto pending = std::make_shared<Call<proto::Envelope, proto::EnvelopeReply>>(this->calls);
        {
            const std::lock_guard lock(this->mutex);
            if (this->sending || this->closed || this->queued.empty()) {
                return;
            }
            this->sending = true;
            this->active.insert(&pending->context);
            pending->request.Swap(&this->queued.front().envelope);
            this->counters.observe(telemetry::Latency::MessageWait,
                                   this->clock.now() - this->queued.front().since);
            this->queued.pop_front();
        }
        pending->context.set_deadline(std::chrono::system_clock::now() + DeliverTimeout);
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
            this->active.erase(&context);
        }
        this->sendNext();
    }

    // Puts messages with those that wait, as far as they may travel together.
    void enqueue(const proto::Envelope &envelope)
    {
        const size_t bytes = envelope.ByteSizeLong();
        if (this->queued.empty() || this->queued.back().bytes + bytes > EnvelopeBytes) {
            this->queued.push_back({{}, 0, this->clock.now()});
        }
        Waiting &last = this->queued.back();
        last.bytes += bytes;
        last.envelope.MergeFrom(envelope);
        dropOldest(last.envelope.mutable_raft());
        dropOldest(last.envelope.mutable_updates());
        dropOldest(last.envelope.mutable_digests());
        if (this->queued.size() > MaximumQueuedEnvelopes) {
            this->queued.pop_front();
        }
    }

    // Messages that will travel together.
    struct Waiting {
        proto::Envelope envelope;
        size_t bytes = 0; // Of all that was put in.
        core::TimePoint since; // When the oldest was put in.
    };

    GrpcLifetime library; // First, so that it ends after the channel.
    telemetry::Counters &counters;
    std::unique_ptr<proto::InstanceService::Stub> stub;
    CallCounter calls;
    std::mutex mutex;
    core::SteadyClock clock;
    std::deque<Waiting> queued; // Oldest first.
    std::set<grpc::ClientContext *> active;
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
    this->state->sendNext();
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
