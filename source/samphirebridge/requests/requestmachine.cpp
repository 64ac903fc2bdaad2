#include "samphirebridge/requests/requestmachine.h"

#include "samphirebridge/requests/problem.h"
#include "samphirebridge/requests/repeatrules.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::requests
{

namespace
{

constexpr int StatusOk = 200;

constexpr int StatusInternalError = 500;
constexpr int EndOfFinalStatus = 600; // The first number above all statuses that HTTP defines.
constexpr core::Duration RetryAfterFailure = std::chrono::seconds(1);

// How often another target is looked for while the current one is silent.
constexpr core::Duration SearchInterval = std::chrono::seconds(1);
constexpr std::string_view EventStream = "text/event-stream";
constexpr std::string_view JsonType = "application/json";

std::string attemptDetail(core::RetryReason reason)
{
    return "The last attempt ended with " + std::string(core::retryName(reason));
}

} // namespace

RequestMachine::RequestMachine(RequestSpecification specification)
    : specification(std::move(specification))
    , history(this->specification.attemptPrefix)
    , storableAnswer(this->specification.maximumStoredBytes)
{
    if (this->specification.chat) {
        this->chat.emplace(*this->specification.chat);
    }
}

Actions RequestMachine::handle(const Event &event, core::TimePoint time)
{
    this->actions.clear();
    if (this->state == State::Finished) {
        return {};
    }
    this->now = time;
    std::visit([this](const auto &alternative) { this->onEvent(alternative); }, event);
    return std::exchange(this->actions, {});
}

std::optional<core::TimePoint> RequestMachine::nextTimer() const
{
    if (this->state == State::Finished || this->state == State::EndedUnclaimed) {
        return std::nullopt;
    }
    if (!this->hasStallTimeout()) {
        return this->specification.deadline;
    }
    return std::min(this->specification.deadline, this->stallDeadline());
}

void RequestMachine::onEvent(const Claimed &event)
{
    if (this->state == State::EndedUnclaimed) {
        this->actions.emplace_back(Release{});
        this->finish();
        return;
    }
    if (this->state != State::AwaitingClaim) {
        return;
    }
    if (event.takeover) {
        this->history.recordTakeover();
    }
    this->state = State::Choosing;
    if (this->now >= this->specification.deadline) {
        this->giveUp({core::RefusalReason::DeadlineExceeded, std::nullopt, {}});
        return;
    }
    if (!this->mayBeSentAgain()) {
        this->giveUp({core::RefusalReason::KeyOutcomeUnknown, std::nullopt, {}});
        return;
    }
    this->chooseTarget(event.takeover ? std::optional(core::RetryReason::Takeover) : std::nullopt);
}

void RequestMachine::onEvent(const ClaimRefused &event)
{
    if (this->state != State::AwaitingClaim && this->state != State::EndedUnclaimed) {
        return;
    }
    if (this->state == State::AwaitingClaim) {
        this->refuse({event.reason, event.retryAfter, {}}, event.outcome);
    }
    this->finish();
}

void RequestMachine::onEvent(const TargetChosen &event)
{
    if (std::exchange(this->seekingReplacement, false)) {
        this->cancelAttempt();
        this->history.recordFailure(true);
        this->state = State::Choosing;
    }
    if (this->state != State::Choosing) {
        return;
    }
    this->state = State::Sent;
    this->lastProgress = this->now;
    this->status = 0;
    this->buffer.clear();
    if (this->chat) {
        this->chat->beginAttempt();
    }
    this->actions.emplace_back(this->makeAttempt(event.target));
}

void RequestMachine::onEvent(const NoTarget &event)
{
    if (std::exchange(this->seekingReplacement, false)) {
        return; // The attempt goes on.
    }
    if (this->state == State::Choosing) {
        this->giveUp({event.reason, event.retryAfter, {}});
    }
}

void RequestMachine::onEvent(const HeadersArrived &event)
{
    if (!this->history.isCurrent(event.attempt) || this->state != State::Sent) {
        return;
    }
    if (!event.echoedAttempt.empty() && event.echoedAttempt != this->history.currentAttempt()) {
        this->actions.emplace_back(
            CountForeignAnswer{this->history.currentAttempt(), event.echoedAttempt});
        this->cancelAttempt();
        this->endAttempt(core::RetryReason::ForeignAnswer, true);
        return;
    }
    if (event.status < StatusOk || event.status >= EndOfFinalStatus) {
        this->cancelAttempt();
        this->endAttempt(core::RetryReason::ForeignAnswer, true);
        return;
    }
    this->lastProgress = this->now;
    this->status = event.status;
    this->contentType = event.contentType;
    const bool isResume = this->chat && this->chat->outputTokens() > 0;
    const auto reason = retryReasonOf(this->specification.repeat, event.status, isResume);
    if (reason) {
        this->cancelAttempt();
        this->endAttempt(*reason, true);
        return;
    }
    this->state = State::Answering;
}

void RequestMachine::onEvent(const BytesArrived &event)
{
    if (!this->history.isCurrent(event.attempt) || this->state != State::Answering) {
        return;
    }
    this->lastProgress = this->now;
    if (this->isChatStream()) {
        this->processChatBytes(event.bytes);
    } else {
        this->bufferOrForward(event.bytes);
    }
}

void RequestMachine::onEvent(const AnswerEnded &event)
{
    if (!this->history.isCurrent(event.attempt)) {
        return;
    }
    if (this->state != State::Answering) {
        this->endAttempt(core::RetryReason::ConnectionBroken, true);
    } else if (this->isChatStream()) {
        this->endAttempt(core::RetryReason::MissingTerminator, true);
    } else {
        this->completeWhole();
    }
}

void RequestMachine::onEvent(const AttemptFailed &event)
{
    if (this->history.isCurrent(event.attempt)) {
        const bool hasAnswer = this->state == State::Answering;
        this->endAttempt(event.reason, event.bytesMayHaveLeft || hasAnswer);
    }
}

void RequestMachine::onEvent(const TimerFired &)
{
    if (this->state == State::EndedUnclaimed) {
        return;
    }
    if (this->now >= this->specification.deadline) {
        this->giveUp({core::RefusalReason::DeadlineExceeded, std::nullopt, {}});
        return;
    }
    if (this->hasStallTimeout() && this->now >= this->stallDeadline()) {
        this->onStalled();
    }
}

// A plain request that is not REPEATABLE goes on without its caller, so that its outcome becomes
// known.
void RequestMachine::onEvent(const CallerDisconnected &)
{
    this->callerPresent = false;
    if (this->history.isRunning() && !this->chat && !this->isRepeatable()) {
        return;
    }
    this->giveUp({core::RefusalReason::AnswerBroken, std::nullopt, {}});
}

void RequestMachine::onEvent(const ShutdownDeadline &)
{
    this->giveUp({core::RefusalReason::Stopping, RetryAfterFailure, {}});
}

bool RequestMachine::isRepeatable() const
{
    return this->specification.repeat == proto::REPEATABLE;
}

// Tells whether the current answer is a stream of chunks that ChatStream parses.
bool RequestMachine::isChatStream() const
{
    if (!this->chat || this->status != StatusOk) {
        return false;
    }
    const ChatRequest &request = *this->specification.chat;
    return request.stream() || request.resumable();
}

bool RequestMachine::mayBeSentAgain() const
{
    if (!mayRepeat(this->specification.repeat) && this->history.mayHaveRun()) {
        return false;
    }
    if (this->chat) {
        return this->chat->continuable();
    }
    return !this->answerBegun;
}

// A request that may not be sent again gains nothing from a cancelled attempt: it waits until its
// deadline.
bool RequestMachine::hasStallTimeout() const
{
    const bool attemptsLeft = this->history.startedAttempts() < this->specification.maximumAttempts;
    const bool isReplaceable = attemptsLeft && this->mayBeSentAgain();
    return this->history.isRunning() && (isReplaceable || this->lacksOnlyTerminator());
}

// Returns when the running attempt counts as stalled, or when to look for another target again.
core::TimePoint RequestMachine::stallDeadline() const
{
    return std::max(this->lastProgress + this->specification.stallTimeout, this->nextSearch);
}

bool RequestMachine::lacksOnlyTerminator() const
{
    return this->chat && this->chat->atOutputBound();
}

// Looks for another target because the current attempt's target is silent. The attempt is kept
// until there is one: the silent target may go on.
void RequestMachine::onStalled()
{
    if (this->lacksOnlyTerminator()) {
        this->cancelAttempt();
        this->endAttempt(core::RetryReason::Stalled, true);
        return;
    }
    this->nextSearch = this->now + SearchInterval;
    this->seekingReplacement = true;
    std::vector<core::TargetId> excluded = this->history.failedTargets();
    excluded.push_back(this->history.currentTarget());
    this->actions.emplace_back(
        ChooseTarget{true, true, core::RetryReason::Stalled, std::move(excluded)});
}

core::Outcome RequestMachine::currentOutcome() const
{
    if (!this->history.mayHaveRun()) {
        return core::Outcome::NotRun;
    }
    const bool hasText = this->chat && this->chat->outputTokens() > 0;
    return hasText ? core::Outcome::Ran : core::Outcome::Unknown;
}

StartAttempt RequestMachine::makeAttempt(const core::TargetId &chosen)
{
    const RequestSpecification &request = this->specification;
    StartAttempt start;
    start.attempt = this->history.beginNext(chosen);
    start.target = chosen;
    start.method = request.method;
    start.path = request.path;
    start.headers = request.headers;
    start.headers.push_back({"Samphirebridge-Attempt", start.attempt});
    start.headers.push_back({"Idempotency-Key", request.requestKey});
    start.freshConnection = !this->isRepeatable();
    if (this->chat) {
        start.headers.push_back({"Content-Type", std::string(JsonType)});
        start.body = request.chat->render(
            this->chat->text(), this->chat->outputTokens(), request.priority);
    } else {
        start.body = request.body;
    }
    return start;
}

void RequestMachine::chooseTarget(std::optional<core::RetryReason> reason)
{
    this->state = State::Choosing;
    this->actions.emplace_back(
        ChooseTarget{reason.has_value(), false, reason, this->history.failedTargets()});
}

void RequestMachine::cancelAttempt()
{
    if (this->history.isRunning()) {
        this->actions.emplace_back(CancelAttempt{this->history.currentAttempt()});
    }
}

// Ends the current attempt as failed, then completes the answer, retries or gives up.
void RequestMachine::endAttempt(core::RetryReason reason, bool bytesMayHaveLeft)
{
    this->history.recordFailure(bytesMayHaveLeft);
    this->buffer.clear();
    if (this->lacksOnlyTerminator()) {
        this->chat->finishAtBound();
        this->completeChat();
        return;
    }
    // Without a caller a retry is useful only if the target deduplicates: its answer tells the
    // outcome of a request that may have run.
    const bool isUseful = this->callerPresent
                          || (this->specification.repeat == proto::TARGET_DEDUPLICATES
                              && this->history.mayHaveRun());
    const bool isLast = this->history.startedAttempts() >= this->specification.maximumAttempts
                        || this->now >= this->specification.deadline || !isUseful;
    if (!isLast && this->mayBeSentAgain()) {
        this->chooseTarget(reason);
        return;
    }
    const bool retryForbidden = !this->mayBeSentAgain();
    this->giveUp(
        {retryForbidden ? core::RefusalReason::AnswerBroken : core::RefusalReason::TargetsFailed,
         retryForbidden ? std::nullopt : std::optional(RetryAfterFailure),
         attemptDetail(reason)});
}

void RequestMachine::processChatBytes(const std::string &bytes)
{
    std::string out;
    const ChatProgress progress = this->chat->feed(bytes, out);
    if (this->specification.chat->stream() && !out.empty()) {
        this->beginAnswer(StatusOk, EventStream);
        this->forward(std::move(out));
    }
    if (progress == ChatProgress::Complete) {
        this->completeChat();
    } else if (progress == ChatProgress::Malformed) {
        this->cancelAttempt();
        this->endAttempt(core::RetryReason::TargetError, true);
    }
}

// Buffers the body of a plain answer up to a limit, and streams a longer one to the caller. A chat
// answer beyond the limit is a failure, since its usage can only be read from the whole body.
void RequestMachine::bufferOrForward(const std::string &bytes)
{
    if (this->answerBegun) {
        this->forward(bytes);
        return;
    }
    this->buffer += bytes;
    if (this->buffer.size() <= this->specification.maximumBufferedBytes) {
        return;
    }
    if (this->chat) {
        this->cancelAttempt();
        this->endAttempt(core::RetryReason::TargetError, true);
        return;
    }
    this->beginAnswer(this->status, this->contentType);
    this->forward(std::exchange(this->buffer, {}));
}

void RequestMachine::completeChat()
{
    const ChatRequest &request = *this->specification.chat;
    const std::string ending = request.stream() ? this->chat->ending() : this->chat->wholeAnswer();
    this->status = StatusOk;
    this->contentType = request.stream() ? EventStream : JsonType;
    this->settle(
        this->chat->usedTokens(), this->chat->isUsageExact(), this->makeStoredAnswer(ending));
    if (request.stream()) {
        this->beginAnswer(StatusOk, EventStream);
        this->forward(ending);
        this->actions.emplace_back(EndAnswer{});
    } else {
        this->sendWhole(ending);
    }
    this->finish();
}

// Completes an answer that the target sent as one body. A plain request is billed unless its answer
// is a server error.
void RequestMachine::completeWhole()
{
    if (this->chat && this->status == StatusOk) {
        this->completeWholeChat();
        return;
    }
    const bool isBilled = !this->chat && this->status < StatusInternalError;
    const core::Tokens used = isBilled ? this->specification.price : core::Tokens{0};
    this->settle(used, true, this->makeStoredAnswer(this->buffer));
    if (this->answerBegun) {
        this->actions.emplace_back(EndAnswer{});
    } else {
        this->sendWhole(std::exchange(this->buffer, {}));
    }
    this->finish();
}

// Completes a chat answer that is not a single plain text and that the engine sent as one body.
void RequestMachine::completeWholeChat()
{
    const std::optional<core::Tokens> used = usageOfWholeAnswer(this->buffer);
    if (!used) {
        this->endAttempt(core::RetryReason::TargetError, true);
        return;
    }
    this->settle(*used, true, this->makeStoredAnswer(this->buffer));
    this->sendWhole(std::exchange(this->buffer, {}));
    this->finish();
}

void RequestMachine::beginAnswer(int answerStatus, std::string_view type)
{
    if (!std::exchange(this->answerBegun, true) && this->callerPresent) {
        this->actions.emplace_back(BeginAnswer{answerStatus, std::string(type)});
    }
}

void RequestMachine::forward(std::string bytes)
{
    this->storableAnswer.append(bytes);
    if (this->callerPresent) {
        this->actions.emplace_back(ForwardBytes{std::move(bytes)});
    }
}

void RequestMachine::sendWhole(std::string body)
{
    if (this->callerPresent) {
        this->actions.emplace_back(SendWhole{this->status, this->contentType, std::move(body)});
    }
}

// Ends the request without a complete answer.
void RequestMachine::giveUp(const GiveUpReason &reason)
{
    const core::Outcome outcome = this->currentOutcome();
    if (this->state == State::AwaitingClaim || this->state == State::EndedUnclaimed) {
        if (this->state == State::AwaitingClaim) {
            this->refuse(reason, outcome);
        }
        this->state = State::EndedUnclaimed; // The claim's result has yet to be handed in.
        return;
    }
    this->cancelAttempt();
    this->settleAfterGivingUp();
    this->refuse(reason, outcome);
    this->finish();
}

// Releases a request that can't have run. Otherwise bills what a chat has used and nothing for a
// repeatable request, and leaves any other request in doubt.
void RequestMachine::settleAfterGivingUp()
{
    if (!this->history.mayHaveRun()) {
        this->actions.emplace_back(Release{});
        return;
    }
    if (this->chat) {
        this->settle(this->chat->usedTokens(), this->chat->isUsageExact(), std::nullopt);
        return;
    }
    if (this->isRepeatable()) {
        this->settle(core::Tokens{0}, true, std::nullopt);
        return;
    }
    this->actions.emplace_back(
        Settle{this->specification.price, core::Outcome::Unknown, true, std::nullopt});
}

void RequestMachine::refuse(const GiveUpReason &reason, core::Outcome outcome)
{
    if (!this->callerPresent) {
        return;
    }
    if (!this->answerBegun) {
        this->actions.emplace_back(
            Refuse{reason.refusal, outcome, reason.retryAfter, reason.detail});
        return;
    }
    std::string event;
    if (this->chat) {
        const std::string &key = this->specification.requestKey;
        event = renderErrorEvent(reason.refusal, outcome, key, reason.detail);
    }
    this->actions.emplace_back(EndWithError{reason.refusal, outcome, std::move(event)});
}

void RequestMachine::settle(core::Tokens used, bool exact, std::optional<StoredAnswer> answer)
{
    const core::Tokens bounded = std::min(used, this->specification.reservation);
    this->actions.emplace_back(Settle{bounded, core::Outcome::Ran, exact, std::move(answer)});
}

std::optional<StoredAnswer> RequestMachine::makeStoredAnswer(std::string_view ending) const
{
    std::optional<std::string> body = this->storableAnswer.withEnding(ending);
    if (!body) {
        return std::nullopt;
    }
    return StoredAnswer{this->status, this->contentType, *std::move(body)};
}

void RequestMachine::finish()
{
    this->history.endCurrent();
    this->state = State::Finished;
    this->actions.emplace_back(Finish{});
}

} // namespace samphirebridge::requests
