// The life of one request from its arrival to its answer, as a pure state machine.
//
// The host does the machine's actions in their order, hands in what happens and calls back at
// nextTimer; what has arrived by then goes in before TimerFired. Where it is told of a caller that
// leaves, of a deadline or of a shutdown before the claim's result, that result is still to be
// handed in. Promises: after a Claimed there is exactly one Settle or Release, and exactly one
// Finish, which is last; Release and Outcome::NotRun are said only if no byte of the request can
// have reached a target; a request under RepeatRule NEVER is not sent again once a byte may have
// left; what the caller gets of a chat is always a prefix of one answer.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/core/tokens.h"
#include "samphirebridge/requests/actions.h"
#include "samphirebridge/requests/attempthistory.h"
#include "samphirebridge/requests/chatrequest.h"
#include "samphirebridge/requests/chatstream.h"
#include "samphirebridge/requests/events.h"
#include "samphirebridge/requests/keptanswer.h"

#include "manifest.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphirebridge::requests
{

// What a machine must know about its request.
struct RequestSpecification {
    std::string requestKey; // The caller's Idempotency-Key or the generated one.
    std::string attemptPrefix; // Unique in the fleet; attempts are named `<prefix>.<number>`.
    proto::RepeatRule repeat = proto::REPEATABLE;
    std::optional<ChatRequest> chat; // Empty: a plain service.
    int64_t priority = 0; // For engines; lower runs first.
    std::string method = "POST";
    std::string path = "/v1/chat/completions"; // With the query.
    std::vector<AttemptHeader> headers; // To pass on to the target.
    std::string body; // Of a plain request.
    core::Tokens price; // Of a plain call.
    core::Tokens reservation; // What was set aside; never more is settled.
    core::Duration stallTimeout = std::chrono::seconds(10); // Longest wait for the next part.
    core::TimePoint deadline; // The end of the request's life.
    uint32_t maximumAttempts = 4; // Next to the fleet's retry budget.
    size_t maximumStoredBytes = size_t{64} << 10U; // A longer answer is not kept for its key.
    size_t maximumBufferedBytes = size_t{1} << 20U; // A longer plain answer is streamed on.
};

// See the top of this file.
class RequestMachine
{
public:
    explicit RequestMachine(RequestSpecification specification);

    // Takes one event and returns what to do. After Finish: nothing.
    Actions handle(const Event &event, core::TimePoint time);

    // Returns when to hand in TimerFired at the latest; empty after Finish.
    [[nodiscard]] std::optional<core::TimePoint> nextTimer() const;

    [[nodiscard]] bool finished() const
    {
        return this->state == State::Finished;
    }

    // Returns the attempts started so far.
    [[nodiscard]] uint32_t attempts() const
    {
        return this->history.count();
    }

    // Tells whether a byte of the request can have reached a target.
    [[nodiscard]] bool mayHaveRun() const
    {
        return this->history.mayHaveRun();
    }

private:
    enum class State : uint8_t { Unclaimed, Abandoned, Choosing, Sent, Answering, Finished };

    // How a request is given up.
    struct GivenUp {
        core::RefusalReason reason = core::RefusalReason::TargetsFailed;
        std::optional<core::Duration> retryAfter;
        std::string detail;
    };

    void on(const Claimed &event);
    void on(const ClaimRefused &event);
    void on(const TargetChosen &event);
    void on(const NoTarget &event);
    void on(const HeadersArrived &event);
    void on(const BytesArrived &event);
    void on(const AnswerEnded &event);
    void on(const AttemptFailed &event);
    void on(const TimerFired &event);
    void on(const CallerGone &event);
    void on(const ShutdownDeadline &event);

    [[nodiscard]] bool isRepeatable() const;
    [[nodiscard]] bool isChatStream() const;
    [[nodiscard]] bool mayBeSentAgain() const;
    [[nodiscard]] bool stallTimerRuns() const;
    [[nodiscard]] core::Outcome outcomeNow() const;
    [[nodiscard]] StartAttempt attemptFor(const core::TargetId &chosen);
    void choose(std::optional<core::RetryReason> reason);
    void cancelAttempt();
    void endAttempt(core::RetryReason reason, bool bytesMayHaveLeft);
    void takeChatBytes(const std::string &bytes);
    void takeWholeBytes(const std::string &bytes);
    void completeChat();
    void completeWhole();
    void completeWholeChat();
    void beginAnswer(int answerStatus, std::string_view type);
    void forward(std::string bytes);
    void sendWhole(std::string body);
    void giveUp(const GivenUp &end);
    void settleGivenUp();
    void refuse(const GivenUp &end, core::Outcome outcome);
    void settle(core::Tokens used, bool exact, std::optional<StoredAnswer> answer);
    [[nodiscard]] std::optional<StoredAnswer> answerWith(std::string_view ending) const;
    void finish();

    RequestSpecification specification;
    std::optional<ChatStream> chat;
    State state = State::Unclaimed;
    core::TimePoint now;
    core::TimePoint lastProgress; // Of the current attempt.
    AttemptHistory history;
    bool callerPresent = true;
    bool answerBegun = false; // The caller's stream is open.
    int status = 0; // Of the current attempt's answer.
    std::string contentType;
    std::string buffer; // Of an answer that is passed on whole.
    KeptAnswer kept; // What was forwarded.
    Actions actions;
};

} // namespace samphirebridge::requests
