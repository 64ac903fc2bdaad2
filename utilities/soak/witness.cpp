#include "utilities/soak/witness.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphirebridge::soak
{

namespace
{

constexpr std::string_view NotRun = "not_run";

std::string_view endName(CallEnd end)
{
    switch (end) {
    case CallEnd::Answered:
        return "answered";
    case CallEnd::Refused:
        return "refused";
    case CallEnd::Broken:
        return "broken";
    case CallEnd::NotSent:
        return "not_sent";
    }
    return "not_sent";
}

std::string_view kindName(CallKind kind)
{
    switch (kind) {
    case CallKind::Stream:
        return "stream";
    case CallKind::Whole:
        return "whole";
    case CallKind::Payment:
        return "payment";
    }
    return "payment";
}

// Returns whether the caller knows that no target executed the call.
bool isKnownNotRun(const Call &call)
{
    return call.end == CallEnd::NotSent || (call.end == CallEnd::Refused && call.outcome == NotRun);
}

int64_t sumOf(const BudgetState &budget)
{
    return budget.billed + budget.escrow + budget.quarantined + budget.pool;
}

} // namespace

nlohmann::json toJson(const Call &call)
{
    return {{"kind", kindName(call.kind)},
            {"key", call.key},
            {"instance", call.instance},
            {"started_ms", call.startedMs},
            {"ended_ms", call.endedMs},
            {"end", endName(call.end)},
            {"status", call.status},
            {"tokens", call.tokens},
            {"outcome", call.outcome},
            {"detail", call.detail},
            {"text", call.text}};
}

Witness::Witness(int64_t paymentPrice)
    : paymentPrice(paymentPrice)
{
}

void Witness::addCall(const Call &call)
{
    const std::lock_guard lock(this->mutex);
    this->checkAnswer(call);
    this->chatTokens += call.tokens;
    this->callsPerKey[call.key].push_back(call);
}

void Witness::checkAnswer(const Call &call)
{
    const bool isWhole = call.end == CallEnd::Answered && call.text == call.expected;
    const bool isPrefix = call.kind == CallKind::Stream && call.end != CallEnd::Answered
                          && call.expected.starts_with(call.text);
    const bool isEmpty = call.end != CallEnd::Answered && call.text.empty();
    if (!isWhole && !isPrefix && !isEmpty) {
        this->recordViolation(
            fmt::format("{} {} at instance {}: the answer ({}) is '{}' and not '{}'",
                        kindName(call.kind),
                        call.key,
                        call.instance,
                        endName(call.end),
                        call.text,
                        call.expected));
    }
}

void Witness::addRunLogEntry(const std::string &target, const nlohmann::json &line)
{
    const std::string event = line.value("event", "");
    const std::lock_guard lock(this->mutex);
    if (event == "run") {
        this->runsPerKey[line.value("key", "")].push_back(
            {target, line.value("at_ms", int64_t{0})});
    } else if (event == "finished" || event == "cancelled") {
        this->engineTokens
            += line.value("tokens", int64_t{0}) + line.value("prompt_tokens", int64_t{0});
    }
}

void Witness::checkSpending(int64_t chatBudget, int64_t paymentBudget)
{
    const std::lock_guard lock(this->mutex);
    if (this->chatTokens > chatBudget) {
        this->recordViolation(fmt::format(
            "callers received {} tokens of a budget of {}", this->chatTokens, chatBudget));
    }
    const int64_t paid = this->paymentRuns() * this->paymentPrice;
    if (paid > paymentBudget) {
        this->recordViolation(
            fmt::format("payments for {} tokens ran of a budget of {}", paid, paymentBudget));
    }
}

void Witness::addVersion(int instance, int incarnation, int64_t version)
{
    const std::lock_guard lock(this->mutex);
    int64_t &highest = this->versions[{instance, incarnation}];
    if (version < highest) {
        this->recordViolation(fmt::format(
            "instance {} went back from manifest version {} to {}", instance, highest, version));
    }
    highest = std::max(highest, version);
}

void Witness::checkShutdown(const Shutdown &shutdown)
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[key, calls] : this->callsPerKey) {
        for (const Call &call : calls) {
            const bool wasUnderWay = call.instance == shutdown.instance
                                     && call.startedMs < shutdown.signalledMs
                                     && call.endedMs > shutdown.signalledMs;
            if (wasUnderWay && call.end == CallEnd::Broken) {
                this->recordViolation(
                    fmt::format("{} was cut off by the shutdown of instance {}: {}",
                                key,
                                shutdown.instance,
                                call.detail));
            }
        }
    }
}

void Witness::checkDeparture(const Departure &departure, int64_t slackMs)
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[key, runs] : this->runsPerKey) {
        for (const Run &run : runs) {
            const bool isLate = run.startedMs > departure.announcedMs + slackMs
                                && run.startedMs < departure.endedMs;
            if (run.target == departure.target && isLate) {
                this->recordViolation(
                    fmt::format("target {} was sent {} {} ms after it announced its departure",
                                run.target,
                                key,
                                run.startedMs - departure.announcedMs));
            }
        }
    }
}

void Witness::checkRuns()
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[key, calls] : this->callsPerKey) {
        this->checkRefusals(key, calls);
        const auto runs = this->runsPerKey.find(key);
        const size_t count = runs == this->runsPerKey.end() ? 0 : runs->second.size();
        const bool isPayment = calls.front().kind == CallKind::Payment;
        if (isPayment && count > 1) {
            this->recordViolation(fmt::format("payment {} ran {} times", key, count));
        }
        const bool isAnswered = std::any_of(calls.begin(), calls.end(), [](const Call &call) {
            return call.end == CallEnd::Answered;
        });
        if (isPayment && isAnswered && count == 0) {
            this->recordViolation(fmt::format("payment {} was answered but did not run", key));
        }
    }
}

void Witness::checkRefusals(const std::string &key, std::span<const Call> calls)
{
    const bool isNotRun = std::all_of(calls.begin(), calls.end(), isKnownNotRun);
    const auto runs = this->runsPerKey.find(key);
    if (isNotRun && runs != this->runsPerKey.end()) {
        this->recordViolation(
            fmt::format("{} ran at {} although every call for it was reported as not run; last: {}",
                        key,
                        runs->second.front().target,
                        calls.back().detail));
    }
}

void Witness::checkBilling(const BudgetState &chat, const BudgetState &payments)
{
    const std::lock_guard lock(this->mutex);
    for (const BudgetState &budget : {chat, payments}) {
        if (sumOf(budget) != budget.purchased) {
            this->recordViolation(
                fmt::format("a budget of {} tokens has accounts that add up to {}",
                            budget.purchased,
                            sumOf(budget)));
        }
    }
    int64_t billableChats = 0;
    int64_t billablePayments = 0;
    for (const auto &[key, calls] : this->callsPerKey) {
        const bool isPayment = calls.front().kind == CallKind::Payment;
        const bool isNotRun = std::all_of(calls.begin(), calls.end(), isKnownNotRun);
        billablePayments += isPayment && !isNotRun ? this->paymentPrice : 0;
        billableChats += isNotRun ? 0 : calls.front().maxBilledTokens;
    }
    if (chat.billed > billableChats) {
        this->recordViolation(
            fmt::format("{} tokens are billed for chats; at most {} were billable",
                        chat.billed,
                        billableChats));
    }
    if (payments.billed > billablePayments) {
        this->recordViolation(
            fmt::format("{} tokens are billed for payments; at most {} were billable",
                        payments.billed,
                        billablePayments));
    }
}

void Witness::checkPurchase(const BudgetState &budget, int64_t purchased)
{
    const std::lock_guard lock(this->mutex);
    if (budget.purchased != purchased) {
        this->recordViolation(
            fmt::format("a budget holds {} purchased tokens; the manifest in force says {}",
                        budget.purchased,
                        purchased));
    }
}

std::optional<std::string> Witness::describeUnaccounted(const BudgetState &chat,
                                                        const BudgetState &payments) const
{
    const std::lock_guard lock(this->mutex);
    // The price of a payment in doubt stays reserved until an operator resolves it.
    const int64_t answeredRuns = this->paymentRuns() - this->paymentsInDoubt();
    const int64_t paid = answeredRuns * this->paymentPrice;
    const bool isComplete = this->chatTokens <= chat.billed + chat.quarantined
                            && paid <= payments.billed + payments.quarantined;
    if (isComplete) {
        return std::nullopt;
    }
    return fmt::format("of {} chat tokens {} are billed and {} quarantined; of {} payment tokens "
                       "{} are billed and {} quarantined",
                       this->chatTokens,
                       chat.billed,
                       chat.quarantined,
                       paid,
                       payments.billed,
                       payments.quarantined);
}

void Witness::addViolation(const std::string &violation)
{
    const std::lock_guard lock(this->mutex);
    this->recordViolation(violation);
}

std::vector<std::string> Witness::violations() const
{
    const std::lock_guard lock(this->mutex);
    return this->recordedViolations;
}

std::string Witness::summary() const
{
    const std::lock_guard lock(this->mutex);
    std::map<std::string, int> counts;
    for (const auto &[key, calls] : this->callsPerKey) {
        for (const Call &call : calls) {
            ++counts[fmt::format("{} {}", kindName(call.kind), endName(call.end))];
        }
    }
    std::string text;
    for (const auto &[name, count] : counts) {
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", count, name);
    }
    return fmt::format("{}; callers received {} tokens, engines processed {}",
                       text,
                       this->chatTokens,
                       this->engineTokens);
}

void Witness::recordViolation(std::string violation)
{
    if (std::find(this->recordedViolations.begin(), this->recordedViolations.end(), violation)
        == this->recordedViolations.end()) {
        this->recordedViolations.push_back(std::move(violation));
    }
}

int64_t Witness::paymentsInDoubt() const
{
    return std::ranges::count_if(this->callsPerKey, [this](const auto &entry) {
        const std::vector<Call> &calls = entry.second;
        const auto isAnswered = [](const Call &call) {
            return call.end == CallEnd::Answered;
        };
        return calls.front().kind == CallKind::Payment && this->runsPerKey.contains(entry.first)
               && std::ranges::none_of(calls, isAnswered);
    });
}

int64_t Witness::paymentRuns() const
{
    int64_t runs = 0;
    for (const auto &[key, runList] : this->runsPerKey) {
        const auto calls = this->callsPerKey.find(key);
        const bool isPayment
            = calls != this->callsPerKey.end() && calls->second.front().kind == CallKind::Payment;
        runs += isPayment ? static_cast<int64_t>(runList.size()) : 0;
    }
    return runs;
}

} // namespace samphirebridge::soak
