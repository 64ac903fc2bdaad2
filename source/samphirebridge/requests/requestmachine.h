// State machine of one request from its arrival to the end of its answer. It does no I/O and reads
// no clock.
//
// The host carries out the returned actions in their order and hands in events. At the time that
// nextTimer returns it hands in what has arrived by then, followed by TimerFired. If the caller
// disconnects, the deadline passes or the instance shuts down before the claim's result is known,
// the host must still hand in that result. Guarantees:
// - After Claimed there is exactly one Settle or Release.
// - There is exactly one Finish, and it is the last action.
// - Release and Outcome::NotRun are returned only if no byte of the request can have reached a
//   target.
// - Under RepeatRule NEVER the request is not sent again once a byte of it may have been sent.
// - An attempt whose target is silent is kept until another target is chosen.
// - What the caller receives of a chat is always a prefix of one answer.
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

// Describes the request that a RequestMachine processes.
struct RequestSpecification {
    std::string requestKey; // The caller's Idempotency-Key or the generated one.
    std::string attemptPrefix; // Unique in the fleet; attempts are named `<prefix>.<number>`.
    proto::RepeatRule repeat = proto::REPEATABLE;
    std::optional<ChatRequest> chat; // Empty: a plain service.
    int64_t priority = 0; // Passed to engines; lower runs first.
    std::string method = "POST";
    std::string path = "/v1/chat/completions"; // With the query.
    std::vector<AttemptHeader> headers; // Passed on to the target.
    std::string body; // Of a plain request.
    core::Tokens price; // Of a plain request.
    core::Tokens reservation; // The reserved tokens; no more than these are settled.
    // How long a target may be silent before another one is looked for.
    core::Duration stallTimeout = std::chrono::seconds(10);
    core::TimePoint deadline; // When the request ends at the latest.
    uint32_t maximumAttempts = 4; // Retries are also limited by the fleet's retry budget.
    size_t maximumStoredBytes = size_t{64} << 10U; // A longer answer is not stored for its key.
    size_t maximumBufferedBytes = size_t{1} << 20U; // A longer plain answer is streamed.
};

// See the top of this file for the contract between the machine and its host.
class RequestMachine
{
public:
    explicit RequestMachine(RequestSpecification specification);

    // Processes one event and returns the actions to carry out; none after Finish.
    Actions handle(const Event &event, core::TimePoint time);

    // Returns when to hand in TimerFired at the latest; nothing if no timer is needed.
    [[nodiscard]] std::optional<core::TimePoint> nextTimer() const;

    [[nodiscard]] bool finished() const
    {
        return this->state == State::Finished;
    }

    // Returns the number of attempts started so far.
    [[nodiscard]] uint32_t attempts() const
    {
        return this->history.startedAttempts();
    }

    // Tells whether a byte of the request can have reached a target.
    [[nodiscard]] bool mayHaveRun() const
    {
        return this->history.mayHaveRun();
    }

private:
    // EndedUnclaimed: the request ended before the claim's result, which is still to be handed in.
    enum class State : uint8_t {
        AwaitingClaim,
        EndedUnclaimed,
        Choosing,
        Sent,
        Answering,
        Finished
    };

    // What the caller is told when the request is given up.
    struct GiveUpReason {
        core::RefusalReason refusal = core::RefusalReason::TargetsFailed;
        std::optional<core::Duration> retryAfter;
        std::string detail;
    };

    void onEvent(const Claimed &event);
    void onEvent(const ClaimRefused &event);
    void onEvent(const TargetChosen &event);
    void onEvent(const NoTarget &event);
    void onEvent(const HeadersArrived &event);
    void onEvent(const BytesArrived &event);
    void onEvent(const AnswerEnded &event);
    void onEvent(const AttemptFailed &event);
    void onEvent(const TimerFired &event);
    void onEvent(const CallerDisconnected &event);
    void onEvent(const ShutdownDeadline &event);

    [[nodiscard]] bool isRepeatable() const;
    [[nodiscard]] bool isChatStream() const;
    [[nodiscard]] bool mayBeSentAgain() const;
    [[nodiscard]] bool hasStallTimeout() const;
    [[nodiscard]] core::TimePoint stallDeadline() const;
    [[nodiscard]] bool lacksOnlyTerminator() const;
    void onStalled();
    [[nodiscard]] core::Outcome currentOutcome() const;
    [[nodiscard]] StartAttempt makeAttempt(const core::TargetId &chosen);
    void chooseTarget(std::optional<core::RetryReason> reason);
    void cancelAttempt();
    void endAttempt(core::RetryReason reason, bool bytesMayHaveLeft);
    void processChatBytes(const std::string &bytes);
    void bufferOrForward(const std::string &bytes);
    void completeChat();
    void completeWhole();
    void completeWholeChat();
    void beginAnswer(int answerStatus, std::string_view type);
    void forward(std::string bytes);
    void sendWhole(std::string body);
    void giveUp(const GiveUpReason &reason);
    void settleAfterGivingUp();
    void refuse(const GiveUpReason &reason, core::Outcome outcome);
    void settle(core::Tokens used, bool exact, std::optional<StoredAnswer> answer);
    [[nodiscard]] std::optional<StoredAnswer> makeStoredAnswer(std::string_view ending) const;
    void finish();

    RequestSpecification specification;
    std::optional<ChatStream> chat;
    State state = State::AwaitingClaim;
    core::TimePoint now;
    core::TimePoint lastProgress; // Of the current attempt.
    core::TimePoint nextSearch; // The earliest time to look for another target again.
    bool seekingReplacement = false; // A ChooseTarget that keeps the attempt awaits its answer.
    AttemptHistory history;
    bool callerPresent = true;
    bool answerBegun = false; // A streamed response to the caller has begun.
    int status = 0; // Of the current attempt's answer.
    std::string contentType;
    std::string buffer; // The current attempt's body so far, if it is to be sent whole.
    KeptAnswer storableAnswer; // The bytes forwarded to the caller's stream.
    Actions actions; // Of the event that is being processed.
};

} // namespace samphirebridge::requests
