// One accepted connection, whose requests are read one after the other and answered in order.
//
// An answer is delivered once the kernel has accepted its last byte. Until then the next request
// waits. The connection is idle once the caller's kernel has that byte too. A connection that the
// server ends is closed on its sending side first, and what still comes is read and dropped for a
// while: closing it over unread bytes would reset it, and the caller would lose what it has not
// read yet (RFC 9112, section 9.6).
#pragma once

#include "samphirebridge/core/fairmemory.h"
#include "samphirebridge/core/reasons.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/net/messageparser.h"
#include "samphirebridge/net/responder.h"
#include "samphirebridge/net/tcpstream.h"
#include "samphirebridge/net/timer.h"

#include <absl/status/status.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace samphirebridge::net
{

// Bounds for the requests of a server's connections.
struct ServerLimits {
    MessageLimits message;
    // Bounds the time between two reads within a head.
    core::Duration headTimeout = std::chrono::seconds(5);
    // Bounds the time between two reads within a body, and between requests.
    core::Duration idleTimeout = std::chrono::seconds(30);
    // How much longer than idleTimeout a connection stays open between requests, for callers that
    // may still use it: they count from when they have the last byte, by the limit that they know.
    core::Duration reuseMargin = core::Duration::zero();
};

struct IncomingRequest {
    RequestHead head;
    std::string body;
};

// What is known of a connection with a caller when it ends.
struct ClosedConnection {
    core::CloseReason reason = core::CloseReason::CallerClosed;
    bool requestOpen = false; // A request was being read or answered, or its answer delivered.
    // Of that request, or of one that came while the connection was being closed and was dropped;
    // null if no head was read whole.
    const RequestHead *head = nullptr;
    int refusalStatus = 0; // Of a request that was rejected; 0 for none.
    size_t unreadBytes = 0; // Arrived, and belong to no request that was read.
    size_t unsentBytes = 0; // Of answers: not accepted by the kernel yet.
    core::Duration age{};
};

// Callbacks and state that the connections of a server share.
struct ServerContext {
    std::function<void(IncomingRequest, std::shared_ptr<Responder>)> onRequest;
    std::function<ServerLimits()> limits;
    std::function<void(ServerConnection *, const ClosedConnection &)> onClosed;
    bool draining = false; // Each response closes its connection.
    size_t queueMemory = 0; // In bytes, of what all connections have queued.
    // Of the bodies of all requests that are being read or answered. While one is answered there
    // are up to three copies of it.
    core::FairMemory bodyMemory{MaximumBodyBytes};

    static constexpr size_t MaximumBodyBytes = size_t{48} * 1024 * 1024;
};

// Reads requests, passes each to ServerContext::onRequest with its Responder and closes the
// connection on malformed input, a timeout or the end of the stream. A request whose body finds no
// memory is refused with 503 before the body is read.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(EventLoop &loop, std::shared_ptr<TcpStream> stream, ServerContext &context);

    // Starts reading requests.
    void start();

    // Tells whether no request is being read, answered or delivered, has arrived unread, or is
    // expected at once because the connection is new, the caller's kernel has all that was sent,
    // and the connection is not being closed.
    [[nodiscard]] bool idle() const;

    // Tells whether a request is being answered, or its answer delivered.
    [[nodiscard]] bool answering() const;

    // Tells whether the connection is being closed, and all that was sent is with the caller's
    // kernel.
    [[nodiscard]] bool lingering() const;

    // Tells whether a part of an answer waits until the kernel accepts it.
    [[nodiscard]] bool delivering() const;

    // Closes the connection at once; calls the functions set by setOnCallerClosed and onClosed.
    void close(core::CloseReason reason);

    // Tells whether the request with that number is waiting for its response. Called by its
    // Responder, as are the functions below, which are documented there.
    [[nodiscard]] bool isAnswering(uint64_t number) const;
    void sendWhole(ResponseHead head, std::string_view body);
    void begin(ResponseHead head);
    void write(std::string_view bytes);
    void end();
    void setOnCallerClosed(std::function<void()> onCallerClosed);
    void setOnDrained(std::function<void()> onDrained);
    [[nodiscard]] size_t queuedBytes() const;

private:
    enum class State : uint8_t {
        Reading, // Waits for a request, or reads one.
        Answering,
        Delivering, // The answer is complete, and a part of it is queued.
        Closing, // Nothing is written any more; what comes is dropped.
        Closed,
    };

    // Tells whether the caller may send more before its kernel has all that was sent: its bytes on
    // a closed connection would reset it, and the rest of an answer would be lost.
    [[nodiscard]] bool losesAnswerIfClosed() const;
    // Tells whether the caller opened the connection just now and has not sent a request yet.
    [[nodiscard]] bool expectsFirstRequest() const;
    void onData(std::string_view bytes);
    void readBuffered();
    void onHead(RequestHead requestHead);
    void onBody(std::string_view bytes);
    // Accounts for so many bytes of the body, if there is memory for them.
    [[nodiscard]] bool takeBodyMemory(uint64_t bytes);
    void releaseBodyMemory();
    // Counts what comes in state Closing, and reads its first head for describe().
    void dropBytes(std::string_view bytes);
    void dispatchRequest();
    void rejectMessage(const absl::Status &error);
    void onEnd(StreamEnd end);
    void onDrained();
    // Sends bytes to the caller.
    void send(std::string_view bytes);
    // Updates ServerContext::queueMemory.
    void accountQueue();
    void onTimeout();
    // The caller's bytes did not come in time.
    void onSilence();
    void finishAnswer();
    // The last answer is with the kernel: reads the next request.
    void awaitRequest();
    // Closes the sending side after what is queued, then the connection.
    void closeInOrder(core::CloseReason reason);
    // Answers with an empty response of that status and closes the connection. The request was not
    // run; a caller that may repeat it later is told when.
    void rejectWith(int status,
                    core::CloseReason reason,
                    std::optional<std::chrono::seconds> retryAfter = std::nullopt);
    void armTimer();
    // Waits until the caller has taken more of what is queued or, without that, for the end of a
    // connection that is being closed.
    void armDeliveryTimer();
    // Tells whether an answer that begins now closes its connection.
    [[nodiscard]] bool closesAfterAnswer() const;
    // Returns for how long the caller's next bytes are waited for, by the limits in force.
    [[nodiscard]] core::Duration waitLimit() const;
    [[nodiscard]] ClosedConnection describe(core::CloseReason reason) const;

    std::shared_ptr<TcpStream> stream;
    ServerContext &context;
    MessageParser parser;
    Timer timer;
    core::SteadyClock clock;
    core::TimePoint openedAt;
    core::TimePoint waitingSince; // For the caller's next bytes.
    std::string buffered; // Received but not parsed yet.
    IncomingRequest incoming;
    bool headRead = false;
    bool continueExpected = false; // The caller waits before it sends its body.
    bool messageReady = false;
    bool lacksBodyMemory = false; // For the request that is being read.
    size_t bodyBytes = 0; // In ServerContext::bodyMemory.
    uint64_t requestNumber = 0;
    State state = State::Reading;
    core::CloseReason closeReason = core::CloseReason::LastAnswer; // Valid in state Closing.
    size_t queuedBefore = 0; // When the delivery timer was armed.
    size_t droppedBytes = 0; // That came in state Closing.
    bool callerEnded = false; // The caller sends no more.
    int refusalStatus = 0; // Of the request that was being read, if it was rejected.
    std::optional<RequestHead> droppedHead; // Of the first request that came in state Closing.
    bool readingBuffered = false; // Within readBuffered().
    bool chunked = false;
    bool keepAlive = true;
    std::function<void()> onCallerClosed;
    std::function<void()> onAnswerDrained;
    size_t accountedBytes = 0; // In ServerContext::queueMemory.
};

} // namespace samphirebridge::net
