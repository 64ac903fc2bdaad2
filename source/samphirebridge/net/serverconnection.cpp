#include "samphirebridge/net/serverconnection.h"

#include "samphirebridge/core/errors.h"

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

constexpr int StatusBadRequest = 400;
constexpr int StatusRequestTimeout = 408;
constexpr int StatusContentTooLarge = 413;
constexpr int StatusHeadTooLarge = 431;

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
              [this](std::string_view bytes) { this->incoming.body += bytes; },
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
                             nullptr});
    this->stream->startReading();
    this->armTimer();
}

bool ServerConnection::idle() const
{
    return !this->answerPending && !this->parser.started() && this->buffered.empty()
           && !this->expectsFirstRequest() && !this->stream->hasUnreadBytes();
}

bool ServerConnection::expectsFirstRequest() const
{
    return this->requestNumber == 0 && this->clock.now() - this->openedAt < FirstRequestTime;
}

void ServerConnection::close(core::CloseReason reason)
{
    if (std::exchange(this->isClosed, true)) {
        return;
    }
    const ClosedConnection closed = this->describe(reason);
    this->timer.stop();
    this->stream->close();
    const auto callback = std::exchange(this->onCallerClosed, nullptr);
    this->answerPending = false;
    if (callback) {
        callback();
    }
    this->context.onClosed(this, closed);
}

bool ServerConnection::isAnswering(uint64_t number) const
{
    return this->answerPending && !this->isClosed && number == this->requestNumber;
}

void ServerConnection::sendWhole(ResponseHead head, std::string_view body)
{
    if (head.framing != BodyFraming::None || !body.empty()) {
        head.framing = BodyFraming::Length;
        head.contentLength = body.size();
    }
    this->keepAlive = this->keepAlive && head.keepAlive && !this->context.draining;
    head.keepAlive = this->keepAlive;
    std::string text = formatHead(head);
    if (this->incoming.head.method != "HEAD") {
        text += body;
    }
    this->stream->write(text);
    this->finishAnswer();
}

void ServerConnection::begin(ResponseHead head)
{
    if (head.framing != BodyFraming::Length) {
        head.framing = BodyFraming::Chunked;
    }
    this->chunked = head.framing == BodyFraming::Chunked;
    this->keepAlive = this->keepAlive && head.keepAlive && !this->context.draining;
    head.keepAlive = this->keepAlive;
    this->stream->write(formatHead(head));
}

void ServerConnection::write(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    this->stream->write(this->chunked ? formatChunk(bytes) : std::string(bytes));
}

void ServerConnection::end()
{
    if (this->chunked) {
        this->stream->write(formatChunk({}));
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
    this->buffered += bytes;
    if (this->answerPending) {
        if (this->buffered.size() > MaximumBufferedBytes) {
            this->stream->stopReading();
        }
        return;
    }
    this->readBuffered();
}

void ServerConnection::readBuffered()
{
    const auto self = this->shared_from_this();
    while (!this->answerPending && !this->isClosed && !this->buffered.empty()) {
        const std::string bytes = std::exchange(this->buffered, {});
        const auto read = this->parser.feed(bytes);
        if (!read.ok()) {
            this->rejectMessage(read.status());
            return;
        }
        this->buffered = bytes.substr(*read);
        if (std::exchange(this->messageReady, false)) {
            this->dispatchRequest();
        }
    }
    if (!this->answerPending && !this->isClosed) {
        this->armTimer();
    }
}

void ServerConnection::onHead(RequestHead requestHead)
{
    this->headRead = true;
    if (requestHead.expectsContinue) {
        this->stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    this->incoming.head = std::move(requestHead);
}

void ServerConnection::dispatchRequest()
{
    this->timer.stop();
    this->answerPending = true;
    this->chunked = false;
    this->keepAlive = this->incoming.head.keepAlive;
    ++this->requestNumber;
    auto responder = std::make_shared<Responder>(this->weak_from_this(), this->requestNumber);
    IncomingRequest request{this->incoming.head, std::exchange(this->incoming.body, {})};
    this->context.onRequest(std::move(request), std::move(responder));
}

void ServerConnection::rejectMessage(const absl::Status &error)
{
    ResponseHead head;
    head.status = StatusBadRequest;
    if (core::errorCodeOf(error) == core::ErrorCode::TooLarge) {
        head.status = this->headRead ? StatusContentTooLarge : StatusHeadTooLarge;
    }
    head.framing = BodyFraming::Length;
    head.keepAlive = false;
    this->stream->write(formatHead(head));
    this->close(core::CloseReason::Rejected);
}

void ServerConnection::onEnd(StreamEnd end)
{
    this->close(end == StreamEnd::Closed ? core::CloseReason::CallerClosed
                                         : core::CloseReason::CallerReset);
}

void ServerConnection::onTimeout()
{
    // Due timers run before the sockets are read, so after a pause of the loop bytes may wait
    // there.
    if (this->stream->hasUnreadBytes()) {
        this->armTimer();
        return;
    }
    const core::Duration rest = this->waitLimit() - (this->clock.now() - this->waitingSince);
    if (rest > core::Duration::zero()) {
        this->timer.start(rest);
        return;
    }
    const auto self = this->shared_from_this();
    auto reason = core::CloseReason::IdleTimeout;
    if (this->headRead) {
        reason = core::CloseReason::BodyTimeout;
    } else if (this->parser.started()) {
        reason = core::CloseReason::HeadTimeout;
        ResponseHead head;
        head.status = StatusRequestTimeout;
        head.framing = BodyFraming::Length;
        head.keepAlive = false;
        this->stream->write(formatHead(head));
    }
    this->close(reason);
}

void ServerConnection::finishAnswer()
{
    const auto self = this->shared_from_this();
    this->onCallerClosed = nullptr;
    this->answerPending = false;
    this->headRead = false;
    this->parser.nextMessage();
    this->parser.setLimits(this->context.limits().message);
    // The head of a long response may have been sent, without Connection: close, before the server
    // began to drain. A request that has already been received is answered first.
    const bool lastAnswer = this->context.draining && this->buffered.empty();
    if (!this->keepAlive || lastAnswer) {
        // The stream outlives this connection until its queued bytes are sent.
        const auto lingering = this->stream;
        this->isClosed = true;
        const ClosedConnection closed = this->describe(core::CloseReason::LastAnswer);
        this->timer.stop();
        lingering->setEvents(
            {nullptr, [lingering](StreamEnd /*end*/) { lingering->close(); }, nullptr});
        lingering->closeWhenDrained();
        this->context.onClosed(this, closed);
        return;
    }
    this->stream->startReading();
    this->armTimer();
    if (!this->buffered.empty()) {
        this->readBuffered();
    }
}

void ServerConnection::armTimer()
{
    this->waitingSince = this->clock.now();
    this->timer.start(this->waitLimit());
}

core::Duration ServerConnection::waitLimit() const
{
    const ServerLimits limits = this->context.limits();
    const bool reading = this->parser.started() && !this->headRead;
    return reading ? limits.headTimeout : limits.idleTimeout;
}

ClosedConnection ServerConnection::describe(core::CloseReason reason) const
{
    ClosedConnection closed;
    closed.reason = reason;
    closed.requestOpen = this->answerPending || this->parser.started();
    closed.head = this->headRead ? &this->incoming.head : nullptr;
    closed.unreadBytes = this->buffered.size() + this->stream->unreadBytes();
    closed.unsentBytes = this->stream->queuedBytes();
    closed.age = this->clock.now() - this->openedAt;
    return closed;
}

} // namespace samphirebridge::net
