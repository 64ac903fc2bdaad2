// Checks what callers and targets observed in a round against the promises of the fleet.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::soak
{

enum class CallKind : uint8_t {
    Stream, // A chat whose tokens arrive one by one.
    Whole, // A chat answered in one piece.
    Payment, // A request that a target must execute at most once.
};

// How a call ended, as its caller saw it.
enum class CallEnd : uint8_t {
    Answered, // A complete answer with a success status.
    Refused, // A complete problem document.
    Broken, // The connection closed before the answer was complete, or the deadline passed.
    NotSent, // No connection could be opened.
};

// One call as its caller saw it.
struct Call {
    CallKind kind = CallKind::Stream;
    std::string key; // The Idempotency-Key; for a payment also its id.
    int instance = 0;
    int64_t startedMs = 0; // All times are in milliseconds since 1970.
    int64_t endedMs = 0;
    CallEnd end = CallEnd::NotSent;
    int status = 0;
    std::string outcome; // `outcome` of the problem document: not_run, ran or unknown.
    std::string detail; // Why the call was refused or broke; for the log.
    std::string text; // The answer; of a broken stream the part that was received.
    std::string expected; // The text of a complete answer.
    int64_t tokens = 0; // Prompt and received tokens of a chat; 0 if it received none.
    int64_t maxBilledTokens = 0; // Tokens billed for a complete answer of a chat.
};

// Returns the call as a JSON object for the call log.
nlohmann::json toJson(const Call &call);

// The graceful shutdown of an instance that no other fault overlapped.
struct Shutdown {
    int instance = 0;
    int64_t signalledMs = 0;
    int64_t endedMs = 0;
};

// The departure of a target that no other fault overlapped.
struct Departure {
    std::string target;
    int64_t announcedMs = 0;
    int64_t endedMs = 0; // A later run is that of a restarted target of the same name.
};

// The tokens of a budget as the ledger reports them.
struct BudgetState {
    int64_t purchased = 0;
    int64_t billed = 0;
    int64_t escrow = 0;
    int64_t quarantined = 0;
    int64_t pool = 0;
};

// Collects calls, run logs and versions, and records each violation as a line. Thread-safe.
class Witness
{
public:
    // `paymentPrice` is in tokens.
    explicit Witness(int64_t paymentPrice);

    // Adds a finished call and checks its answer.
    void addCall(const Call &call);

    // Adds an entry of a target's run log.
    void addRunLogEntry(const std::string &target, const nlohmann::json &line);

    // Checks that the tokens received and the payments executed so far do not exceed these budgets,
    // the highest that can be in force by now. A chat's answer is billed once, regardless of the
    // number of attempts.
    void checkSpending(int64_t chatBudget, int64_t paymentBudget);

    // Adds the manifest version in force in a process and checks that it has not decreased.
    void addVersion(int instance, int incarnation, int64_t version);

    // Checks that the shutdown broke no call that was under way when the signal was sent.
    void checkShutdown(const Shutdown &shutdown);

    // Checks that the target was sent no work later than `slackMs` after it announced its
    // departure.
    void checkDeparture(const Departure &departure, int64_t slackMs);

    // Compares payments and refusals with the targets' run logs. Call it after all calls have
    // ended.
    void checkRuns();

    // Checks that the ledger's accounts add up and that no more was billed than was served. Call it
    // after all instances have reported their usage.
    void checkBilling(const BudgetState &chat, const BudgetState &payments);

    // Checks that the ledger's budget holds the tokens that the manifest in force purchases.
    void checkPurchase(const BudgetState &budget, int64_t purchased);

    // Describes served tokens that the ledger has neither billed nor quarantined, or returns
    // nullopt. Instances may still be about to report them.
    [[nodiscard]] std::optional<std::string> describeUnaccounted(const BudgetState &chat,
                                                                 const BudgetState &payments) const;

    // Records a violation that was detected elsewhere.
    void addViolation(const std::string &violation);

    [[nodiscard]] std::vector<std::string> violations() const;

    // Returns the number of calls by kind and end, and the tokens received and generated.
    [[nodiscard]] std::string summary() const;

private:
    struct Run {
        std::string target;
        int64_t startedMs = 0;
    };

    void checkAnswer(const Call &call);
    void checkRefusals(const std::string &key, std::span<const Call> calls);
    void recordViolation(std::string violation); // Requires the mutex.
    [[nodiscard]] int64_t paymentRuns() const; // Requires the mutex.
    // Counts the payments that were executed but never answered. Requires the mutex.
    [[nodiscard]] int64_t paymentsInDoubt() const;

    int64_t paymentPrice;
    mutable std::mutex mutex;
    std::map<std::string, std::vector<Call>>
        callsPerKey; // The mutex guards this and all members below.
    std::map<std::string, std::vector<Run>> runsPerKey;
    std::map<std::pair<int, int>, int64_t> versions; // Highest, by instance and incarnation.
    int64_t chatTokens = 0; // Received by callers, prompts included.
    int64_t engineTokens = 0; // Prompt and generated tokens of all ended attempts.
    std::vector<std::string> recordedViolations;
};

} // namespace samphirebridge::soak
