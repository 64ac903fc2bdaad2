#include "samphirebridge/net/serverconnection.h"

#include "samphirebridge/core/errors.h"

#include <string>
#include <utility>

namespace samphirebridge::net
{

namespace
{

// Bytes of pipelined requests to buffer while one is answered; beyond that reading is paused.
constexpr size_t MaximumBufferedBytes = size_t{256} * 1024;

// A caller sends its first request within this time after it opened a connection: a round trip and
// a few retransmissions.
constexpr core::Duration FirstRequestTime = std::chrono::seconds(1);

// A caller that takes nothing of an answer for so long is given up. The kernel gives up one that
// acknowledges nothing after the same time.
constexpr core::Duration DeliveryTimeout = std::chrono::seconds(30);

// How long what comes on a connection that is being closed is read and dropped, so that the caller
// reads what was sent before: several round trips, and the rest of a body.
constexpr core::Duration LingerTime = std::chrono::seconds(2);

// A body of up to so many bytes is copied behind its head, which saves a system call.
constexpr size_t CopiedBodyBytes = size_t{16} * 1024;

constexpr int StatusBadRequest = 400;
constexpr int StatusRequestTimeout = 408;
constexpr int StatusContentTooLarge = 413;
constexpr int StatusHeadTooLarge = 431;
constexpr int StatusServiceUnavailable = 503;

// When a caller may come back whose request found no memory for its body. The time that a large
// body takes to be read and answered.
constexpr std::chrono::seconds BodyRetryAfter{1};

} // namespace

ServerConnection::ServerConnection(EventLoop &eventLoop,
                                   std::shared_ptr<TcpStream> tcpStream,
                                   ServerContext &serverContext)
    : stream(std::move(tcpStream))
    , context(serverContext)
    , parser(MessageKind::Request,
             serverContext.limits().message,
             {[this](RequestHead head) { this->onHead(std::move(head)); },
              nullptr,
              [this](std::string_view bytes) { this->onBody(bytes); },
              [this] {
                  this->messageReady = true;
              }})
    , timer(eventLoop, [this] { this->onTimeout(); })
    , openedAt(this->clock.now())
{
}

void ServerConnection::start()
{
    const std::weak_ptr<ServerConnection> weak = this->weak_from_this();
    this->stream->setEvents({[weak](std::string_view bytes) {
                                 if (const auto connection = weak.lock()) {
                                     connection->onData(bytes);
                                 }
                             },
                             [weak](StreamEnd end) {
                                 if (const auto connection = weak.lock()) {
                                     connection->onEnd(end);
                                 }
                             },
                             [weak] {
                                 if (const auto connection = weak.lock()) {
                                     connection->onDrained();
                                 }
                             }});
    this->stream->startReading();
    this->armTimer();
}

bool ServerConnection::idle() const
{
    return this->state == State::Reading && !this->parser.started() && this->buffered.empty()
           && !this->expectsFirstRequest() && !this->stream->hasUnreadBytes()
           && !this->losesAnswerIfClosed();
}

bool ServerConnection::answering() const
{
    return this->state == State::Answering || this->delivering();
}

bool ServerConnection::lingering() const
{
    return this->state == State::Closing && !this->delivering() && !this->losesAnswerIfClosed();
}

bool ServerConnection::delivering() const
{
    return this->stream->queuedBytes() > 0;
}

bool ServerConnection::losesAnswerIfClosed() const
{
    return !this->callerEnded && this->stream->unacknowledgedBytes() > 0;
}

bool ServerConnection::expectsFirstRequest() const
{
    return this->requestNumber == 0 && this->clock.now() - this->openedAt < FirstRequestTime;
}

void ServerConnection::close(core::CloseReason reason)
{
    if (this->state == State::Closed) {
        return;
    }
    const ClosedConnection closed = this->describe(reason);
    this->state = State::Closed;
    this->timer.stop();
    this->stream->close();
    this->accountQueue();
    this->releaseBodyMemory();
    this->onAnswerDrained = nullptr;
    const auto callback = std::exchange(this->onCallerClosed, nullptr);
    if (callback) {
        callback();
    }
    this->context.onClosed(this, closed);
}

bool ServerConnection::isAnswering(uint64_t number) const
{
    return this->state == State::Answering && number == this->requestNumber;
}

void ServerConnection::sendWhole(ResponseHead head, std::string_view body)
{
    if (head.framing != BodyFraming::None || !body.empty()) {
        head.framing = BodyFraming::Length;
        head.contentLength = body.size();
    }
    this->keepAlive = this->keepAlive && head.keepAlive && !this->closesAfterAnswer();
    head.keepAlive = this->keepAlive;
    std::string text = formatHead(head);
    const bool hasBody = this->incoming.head.method != "HEAD";
    if (hasBody && body.size() <= CopiedBodyBytes) {
        text += body;
    }
    this->send(text);
    if (hasBody && body.size() > CopiedBodyBytes) {
        this->send(body);
    }
    this->finishAnswer();
}

void ServerConnection::begin(ResponseHead head)
{
    if (head.framing != BodyFraming::Length) {
        head.framing = BodyFraming::Chunked;
    }
    this->chunked = head.framing == BodyFraming::Chunked;
    this->keepAlive = this->keepAlive && head.keepAlive && !this->closesAfterAnswer();
    head.keepAlive = this->keepAlive;
    this->send(formatHead(head));
}

void ServerConnection::write(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    this->send(this->chunked ? formatChunk(bytes) : std::string(bytes));
}

void ServerConnection::end()
{
    if (this->chunked) {
        this->send(formatChunk({}));
    }
    this->finishAnswer();
}

void ServerConnection::setOnCallerClosed(std::function<void()> callback)
{
    this->onCallerClosed = std::move(callback);
}

size_t ServerConnection::queuedBytes() const
{
    return this->stream->queuedBytes();
}

void ServerConnection::onData(std::string_view bytes)
{
    if (this->state == State::Closing) {
        this->dropBytes(bytes);
        return;
    }
    this->buffered += bytes;
    if (this->state != State::Reading) {
        if (this->buffered.size() > MaximumBufferedBytes) {
            this->stream->stopReading();
        }
        return;
    }
    this->readBuffered();
}

void ServerConnection::readBuffered()
{
    // An answer that is given within the loop comes back here; the loop reads on by itself.
    if (std::exchange(this->readingBuffered, true)) {
        return;
    }
    const auto self = this->shared_from_this();
    while (this->state == State::Reading && !this->buffered.empty()) {
        const std::string bytes = std::exchange(this->buffered, {});
        this->parser.applyLimits(this->context.limits().message);
        const auto read = this->parser.feed(bytes);
        if (!read.ok()) {
            this->rejectMessage(read.status());
            break;
        }
        this->buffered = bytes.substr(*read);
        if (this->lacksBodyMemory) {
            this->rejectWith(StatusServiceUnavailable, core::CloseReason::Rejected, BodyRetryAfter);
            break;
        }
        const bool asksForBody = std::exchange(this->continueExpected, false);
        if (std::exchange(this->messageReady, false)) {
            this->dispatchRequest();
        } else if (asksForBody) {
            this->send("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
    this->readingBuffered = false;
    if (this->state == State::Reading) {
        this->armTimer();
    }
}

void ServerConnection::dropBytes(std::string_view bytes)
{
    this->droppedBytes += bytes.size();
    if (!this->droppedHead) {
        // What can't be parsed stays without a head.
        (void)this->parser.feed(bytes);
    }
}

void ServerConnection::onBody(std::string_view bytes)
{
    if (this->state == State::Closing || this->lacksBodyMemory) {
        return;
    }
    const bool isAnnounced = this->incoming.head.framing == BodyFraming::Length;
    this->lacksBodyMemory = !isAnnounced && !this->takeBodyMemory(bytes.size());
    if (!this->lacksBodyMemory) {
        this->incoming.body += bytes;
    }
}

bool ServerConnection::takeBodyMemory(uint64_t bytes)
{
    if (!this->context.bodyMemory.mayHold(this->bodyBytes, bytes, 0)) {
        return false;
    }
    this->context.bodyMemory.add(bytes);
    this->bodyBytes += bytes;
    return true;
}

void ServerConnection::releaseBodyMemory()
{
    // Assigning an empty string would keep the memory.
    std::string().swap(this->incoming.body);
    this->context.bodyMemory.remove(std::exchange(this->bodyBytes, 0));
}

void ServerConnection::onHead(RequestHead requestHead)
{
    if (this->state == State::Closing) {
        this->droppedHead = std::move(requestHead);
        return;
    }
    this->headRead = true;
    this->continueExpected = requestHead.expectsContinue;
    this->incoming.head = std::move(requestHead);
    if (this->incoming.head.framing != BodyFraming::Length) {
        return;
    }
    this->lacksBodyMemory = !this->takeBodyMemory(this->incoming.head.contentLength);
    if (!this->lacksBodyMemory) {
        this->incoming.body.reserve(this->incoming.head.contentLength);
    }
}

void ServerConnection::dispatchRequest()
{
    this->timer.stop();
    this->state = State::Answering;
    this->chunked = false;
    this->keepAlive = this->incoming.head.keepAlive;
    ++this->requestNumber;
    auto responder = std::make_shared<Responder>(this->weak_from_this(), this->requestNumber);
    IncomingRequest request{this->incoming.head, std::exchange(this->incoming.body, {})};
    this->context.onRequest(std::move(request), std::move(responder));
}

void ServerConnection::rejectMessage(const absl::Status &error)
{
    int status = StatusBadRequest;
    if (core::errorCodeOf(error) == core::ErrorCode::TooLarge) {
        status = this->headRead ? StatusContentTooLarge : StatusHeadTooLarge;
    }
    this->rejectWith(status, core::CloseReason::Rejected);
}

void ServerConnection::rejectWith(int status,
                                  core::CloseReason reason,
                                  std::optional<std::chrono::seconds> retryAfter)
{
    this->releaseBodyMemory();
    ResponseHead head;
    head.status = status;
    head.framing = BodyFraming::Length;
    head.keepAlive = false;
    if (retryAfter) {
        head.headers.set("Retry-After", std::to_string(retryAfter->count()));
    }
    this->send(formatHead(head));
    this->refusalStatus = status;
    this->closeInOrder(reason);
}

void ServerConnection::onEnd(StreamEnd end)
{
    if (end == StreamEnd::Broken) {
        this->close(core::CloseReason::CallerReset);
        return;
    }
    this->callerEnded = true;
    // A caller that sends no more may still read.
    if (this->state == State::Delivering) {
        this->closeInOrder(core::CloseReason::CallerClosed);
    } else if (this->state != State::Closing) {
        this->close(core::CloseReason::CallerClosed);
    } else if (!this->delivering()) {
        this->close(this->closeReason);
    }
}

void ServerConnection::setOnDrained(std::function<void()> callback)
{
    this->onAnswerDrained = std::move(callback);
}

void ServerConnection::send(std::string_view bytes)
{
    this->stream->write(bytes);
    this->accountQueue();
}

void ServerConnection::accountQueue()
{
    const size_t queued = this->stream->isOpen() ? this->stream->heldBytes() : 0;
    this->context.queueMemory += queued - std::exchange(this->accountedBytes, queued);
}

void ServerConnection::onDrained()
{
    const auto self = this->shared_from_this();
    this->accountQueue();
    if (this->state == State::Answering && this->onAnswerDrained) {
        const auto callback = this->onAnswerDrained;
        callback();
    } else if (this->state == State::Delivering) {
        this->awaitRequest();
    } else if (this->state == State::Closing && this->callerEnded) {
        this->close(this->closeReason);
    } else if (this->state == State::Closing) {
        this->armDeliveryTimer();
    }
}

void ServerConnection::onTimeout()
{
    const auto self = this->shared_from_this();
    if (this->state == State::Reading) {
        this->onSilence();
        return;
    }
    if (!this->delivering() && this->losesAnswerIfClosed()) {
        // The kernel ends the wait for a caller that acknowledges nothing.
        this->armDeliveryTimer();
    } else if (!this->delivering()) {
        this->close(this->closeReason);
    } else if (this->stream->queuedBytes() == this->queuedBefore) {
        this->close(core::CloseReason::DeliveryTimeout);
    } else {
        this->accountQueue();
        this->armDeliveryTimer();
    }
}

void ServerConnection::onSilence()
{
    // Bytes may have arrived since the loop has read the sockets.
    if (this->stream->hasUnreadBytes()) {
        this->armTimer();
        return;
    }
    const core::Duration rest = this->waitLimit() - (this->clock.now() - this->waitingSince);
    if (rest > core::Duration::zero()) {
        this->timer.start(rest);
        return;
    }
    if (this->parser.started()) {
        this->rejectWith(StatusRequestTimeout,
                         this->headRead ? core::CloseReason::BodyTimeout
                                        : core::CloseReason::HeadTimeout);
        return;
    }
    if (this->losesAnswerIfClosed()) {
        this->armTimer();
        return;
    }
    // Nothing is under way that a linger would protect, and a request that came in it would be read
    // in vain.
    this->close(core::CloseReason::IdleTimeout);
}

bool ServerConnection::closesAfterAnswer() const
{
    // A request that has already been received is answered too.
    return this->context.draining && this->buffered.empty() && !this->stream->hasUnreadBytes();
}

void ServerConnection::finishAnswer()
{
    const auto self = this->shared_from_this();
    this->onCallerClosed = nullptr;
    this->onAnswerDrained = nullptr;
    this->releaseBodyMemory();
    // A drain closes no connection whose caller was not told, in the head of an answer: the caller
    // may have sent its next request already.
    if (!this->keepAlive) {
        this->parser.nextMessage();
        this->closeInOrder(core::CloseReason::LastAnswer);
        this->dropBytes(std::exchange(this->buffered, {}));
        return;
    }
    if (this->delivering()) {
        this->state = State::Delivering;
        this->armDeliveryTimer();
        return;
    }
    this->awaitRequest();
}

void ServerConnection::awaitRequest()
{
    const auto self = this->shared_from_this();
    this->state = State::Reading;
    this->headRead = false;
    this->parser.nextMessage();
    this->stream->startReading();
    this->armTimer();
    if (!this->buffered.empty()) {
        this->readBuffered();
    }
}

void ServerConnection::closeInOrder(core::CloseReason reason)
{
    this->state = State::Closing;
    this->closeReason = reason;
    this->stream->endWriting();
    if (!this->callerEnded) {
        this->stream->startReading();
    }
    this->armDeliveryTimer();
}

void ServerConnection::armTimer()
{
    this->waitingSince = this->clock.now();
    this->timer.start(this->waitLimit());
}

void ServerConnection::armDeliveryTimer()
{
    this->queuedBefore = this->stream->queuedBytes();
    this->timer.start(this->delivering() ? DeliveryTimeout : LingerTime);
}

core::Duration ServerConnection::waitLimit() const
{
    const ServerLimits limits = this->context.limits();
    if (!this->parser.started()) {
        return limits.idleTimeout + limits.reuseMargin;
    }
    return this->headRead ? limits.idleTimeout : limits.headTimeout;
}

ClosedConnection ServerConnection::describe(core::CloseReason reason) const
{
    ClosedConnection closed;
    closed.reason = reason;
    const bool beforeAnswer = this->state == State::Reading && this->parser.started();
    closed.requestOpen = beforeAnswer || this->refusalStatus != 0 || this->state == State::Answering
                         || this->delivering();
    if (closed.requestOpen || this->droppedBytes == 0) {
        closed.head = this->headRead ? &this->incoming.head : nullptr;
    } else {
        closed.head = this->droppedHead ? &*this->droppedHead : nullptr;
    }
    closed.refusalStatus = this->refusalStatus;
    closed.unreadBytes = this->droppedBytes + this->buffered.size() + this->stream->unreadBytes();
    closed.unsentBytes = this->stream->queuedBytes();
    closed.age = this->clock.now() - this->openedAt;
    return closed;
}

} // namespace samphirebridge::net
