// One connection to a target: one request at a time, and its answer.
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

// What happens to a request that was sent. After onEnd or onFailed nothing follows.
struct ExchangeEvents {
    // Returns false to have this answer read to its end and dropped; the next one is handed in.
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

    void start();

    // Sends a request on an idle connection.
    void send(const RequestHead &head, std::string_view body, ExchangeEvents exchangeEvents);

    // Closes the connection; no event follows.
    void close();

    // Tells whether another request may be sent: the last answer was whole, nothing followed it and
    // the target keeps the connection open.
    [[nodiscard]] bool reusable() const;

    // How long the target keeps the connection open without a request, as it last said; zero if it
    // did not.
    [[nodiscard]] core::Duration keepAliveTime() const
    {
        return this->keptFor;
    }

    // Called when an idle connection ends or carries bytes that nobody asked for.
    void setOnSpoiled(std::function<void()> onSpoiled);

private:
    void onData(std::string_view bytes);
    void onHead(ResponseHead head);
    void onComplete();
    void onStreamEnd(StreamEnd end);
    void fail(const absl::Status &error);
    void spoil();

    std::shared_ptr<TcpStream> stream;
    MessageParser parser;
    ExchangeEvents events;
    std::function<void()> onSpoiled;
    std::string buffered;
    bool busy = false;
    bool skipping = false; // The present answer is not handed on.
    bool answersHead = false;
    bool completed = false;
    bool keepAlive = false;
    bool spoiled = false;
    size_t skippedBytes = 0; // Read of answers that were not handed on, since the request was sent.
    bool outOfStep = false; // It carried an answer that nobody asked for.
    core::Duration keptFor{};
};

} // namespace samphirebridge::net
