// One HTTP/1.1 connection to a target, which carries one request and its response at a time.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/net/messageparser.h"
#include "samphirebridge/net/tcpstream.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace samphirebridge::net
{

// Callbacks for the response to a request. onEnd or onFailed is the last one called.
struct ExchangeEvents {
    // Returns false for a response to another request: it is read to its end and dropped, and
    // onHead is called for the next one.
    std::function<bool(ResponseHead)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onEnd;
    std::function<void(const absl::Status &)> onFailed;
};

class TargetConnection : public std::enable_shared_from_this<TargetConnection>
{
public:
    explicit TargetConnection(std::shared_ptr<TcpStream> stream);
    ~TargetConnection();

    // Starts reading from the connection.
    void start();

    // Sends a request; the connection must be reusable() or new.
    void send(const RequestHead &head, std::string_view body, ExchangeEvents exchangeEvents);

    // Stops reading, so that the target can't send more than the buffers between hold, or reads on.
    // The end of a response resumes too.
    void pauseReading();
    void resumeReading();

    // Closes the connection; no event follows.
    void close();

    // Tells whether another request may be sent after a response: it was complete, no further bytes
    // and no response to another request came, and the target keeps the connection open.
    [[nodiscard]] bool reusable() const;

    // Returns how long the target keeps the idle connection open by its last Keep-Alive field; zero
    // if it sent none.
    [[nodiscard]] core::Duration keepAliveTime() const
    {
        return this->keepAliveTimeout;
    }

    // Sets a function that is called once when an idle connection ends or receives unsolicited
    // bytes.
    void setOnUnusable(std::function<void()> onUnusable);

private:
    void onData(std::string_view bytes);
    void onHead(ResponseHead head);
    void onComplete();
    void onStreamEnd(StreamEnd end);
    // Tells whether the response is a success although its request was not sent whole.
    [[nodiscard]] bool precedesRequest() const;
    void fail(const absl::Status &error);
    void markUnusable();

    std::shared_ptr<TcpStream> stream;
    MessageParser parser;
    ExchangeEvents events;
    std::function<void()> onUnusable;
    std::string buffered;
    bool busy = false;
    bool skipping = false; // The current response answers another request and is dropped.
    bool isResponseToHead = false;
    bool messageComplete = false;
    bool keepAlive = false;
    bool isSuccess = false; // By the status of the current response.
    bool unusable = false;
    size_t skippedBytes = 0; // Of dropped responses since the request was sent.
    bool foreignAnswerSeen = false; // A response to another request was received.
    core::Duration keepAliveTimeout{};
};

} // namespace samphirebridge::net
