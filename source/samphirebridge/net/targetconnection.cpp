#include "samphirebridge/net/targetconnection.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/http/status.h"

#include <charconv>
#include <utility>

namespace samphirebridge::net
{

namespace
{

// Upper bound for the bytes of responses to other requests that are skipped for one request.
constexpr size_t MaximumSkippedBytes = size_t{256} * 1024;

// Returns the `timeout` parameter, in seconds, of the Keep-Alive field; zero if there is none.
core::Duration keepAliveTimeoutOf(const http::Headers &headers)
{
    constexpr std::string_view Parameter = "timeout=";
    const std::string_view value = headers.find("Keep-Alive").value_or("");
    const size_t position = value.find(Parameter);
    int seconds = 0;
    if (position != std::string_view::npos) {
        const char *begin = value.data() + position + Parameter.size();
        std::from_chars(begin, value.data() + value.size(), seconds);
    }
    return std::chrono::seconds(seconds);
}

} // namespace

TargetConnection::TargetConnection(std::shared_ptr<TcpStream> tcpStream)
    : stream(std::move(tcpStream))
    , parser(MessageKind::Response,
             {},
             {nullptr,
              [this](ResponseHead head) { this->onHead(std::move(head)); },
              [this](std::string_view bytes) {
                  if (!this->skipping && this->events.onBody) {
                      const auto onBody = this->events.onBody;
                      onBody(bytes);
                  }
              },
              [this] {
                  this->messageComplete = true;
              }})
{
}

TargetConnection::~TargetConnection()
{
    this->stream->close();
}

void TargetConnection::start()
{
    const std::weak_ptr<TargetConnection> weak = this->weak_from_this();
    this->stream->setEvents({[weak](std::string_view bytes) {
                                 if (const auto connection = weak.lock()) {
                                     connection->onData(bytes);
                                 }
                             },
                             [weak](StreamEnd end) {
                                 if (const auto connection = weak.lock()) {
                                     connection->onStreamEnd(end);
                                 }
                             },
                             nullptr});
    this->stream->startReading();
}

void TargetConnection::send(const RequestHead &head,
                            std::string_view body,
                            ExchangeEvents exchangeEvents)
{
    this->events = std::move(exchangeEvents);
    this->busy = true;
    this->skipping = false;
    this->skippedBytes = 0;
    this->messageComplete = false;
    this->isResponseToHead = head.method == "HEAD";
    this->parser.nextMessage(this->isResponseToHead);
    std::string text = formatHead(head);
    text += body;
    this->stream->write(text);
}

void TargetConnection::pauseReading()
{
    this->stream->stopReading();
}

void TargetConnection::resumeReading()
{
    this->stream->startReading();
}

void TargetConnection::close()
{
    this->busy = false;
    this->unusable = true;
    this->events = {};
    this->onUnusable = nullptr;
    this->stream->close();
}

bool TargetConnection::reusable() const
{
    return !this->busy && !this->unusable && !this->foreignAnswerSeen && this->keepAlive
           && this->buffered.empty() && this->stream->queuedBytes() == 0 && this->stream->isQuiet();
}

void TargetConnection::setOnUnusable(std::function<void()> callback)
{
    this->onUnusable = std::move(callback);
}

void TargetConnection::onData(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    if (!this->busy) {
        this->markUnusable();
        return;
    }
    this->buffered += bytes;
    while (this->busy && !this->buffered.empty()) {
        const std::string pending = std::exchange(this->buffered, {});
        const auto read = this->parser.feed(pending);
        if (!read.ok()) {
            this->fail(read.status());
            return;
        }
        this->buffered = pending.substr(*read);
        this->skippedBytes += this->skipping ? *read : 0;
        if (this->skippedBytes > MaximumSkippedBytes) {
            this->fail(
                core::makeError(core::ErrorCode::TooLarge,
                                "the target sent too many bytes of answers to other requests"));
            return;
        }
        if (this->busy && std::exchange(this->messageComplete, false)) {
            this->onComplete();
        }
    }
}

void TargetConnection::onHead(ResponseHead head)
{
    this->keepAlive = head.keepAlive;
    this->isSuccess = http::isSuccessStatus(head.status);
    this->keepAliveTimeout = keepAliveTimeoutOf(head.headers);
    const auto onHead = this->events.onHead;
    if (!onHead) {
        return;
    }
    this->skipping = !onHead(std::move(head));
}

void TargetConnection::onComplete()
{
    if (this->skipping) {
        this->foreignAnswerSeen = true;
        this->skipping = false;
        this->parser.nextMessage(this->isResponseToHead);
        return;
    }
    this->busy = false;
    this->resumeReading();
    const auto onEnd = std::exchange(this->events, {}).onEnd;
    if (onEnd) {
        onEnd();
    }
}

void TargetConnection::onStreamEnd(StreamEnd end)
{
    const auto self = this->shared_from_this();
    if (!this->busy) {
        this->markUnusable();
        return;
    }
    if (end == StreamEnd::Closed && !this->precedesRequest() && this->parser.finish().ok()
        && std::exchange(this->messageComplete, false) && !this->skipping) {
        this->keepAlive = false;
        this->onComplete();
        return;
    }
    this->fail(core::makeError(core::ErrorCode::ConnectionBroken,
                               end == StreamEnd::Closed
                                   ? "the target closed the connection before the end of its answer"
                                   : "the target reset the connection"));
}

// The connection's end delimits such a response only if the target meant it so. One that stopped in
// an upload leaves an orderly end too, if it had read what had arrived. An early error is accepted:
// targets refuse a request that is too long by it.
bool TargetConnection::precedesRequest() const
{
    return this->isSuccess && this->stream->queuedBytes() > 0;
}

void TargetConnection::fail(const absl::Status &error)
{
    this->busy = false;
    this->unusable = true;
    this->stream->close();
    const auto onFailed = std::exchange(this->events, {}).onFailed;
    if (onFailed) {
        onFailed(error);
    }
}

void TargetConnection::markUnusable()
{
    this->unusable = true;
    this->stream->close();
    const auto callback = std::exchange(this->onUnusable, nullptr);
    if (callback) {
        callback();
    }
}

} // namespace samphirebridge::net
