// What callers and targets saw of a round, held against the promises.
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
    Payment, // Runs at most once.
};

// How one call ended for its caller.
enum class CallEnd : uint8_t {
    Answered, // Complete, with a status of success.
    Refused, // Complete, with a problem document.
    Broken, // The connection ended before the answer did, or no answer came in time.
    NotSent, // No connection was made.
};

// One call as its caller saw it.
struct Call {
    CallKind kind = CallKind::Stream;
    std::string key; // The Idempotency-Key; of a payment, its id too.
    int instance = 0;
    int64_t startedMs = 0; // Since 1970, as the other times.
    int64_t endedMs = 0;
    CallEnd end = CallEnd::NotSent;
    int status = 0;
    std::string outcome; // Of a refusal: not_run, ran or unknown.
    std::string detail; // Of a refusal or a broken call, for people.
    std::string text; // What the answer said; of a stream as far as it came.
    std::string expected; // What a complete answer says.
    int64_t tokens = 0; // Of a chat: what the caller got, the prompt included; or 0.
    int64_t mostTokens = 0; // Of a chat: what a complete answer is billed for.
};

// Renders the call as one JSON object.
nlohmann::json toJson(const Call &call);

// An instance that was told to stop and ended by itself, with nothing else amiss meanwhile.
struct Shutdown {
    int instance = 0;
    int64_t signalledMs = 0;
    int64_t endedMs = 0;
};

// A target that left, with nothing else amiss around that time.
struct Departure {
    std::string target;
    int64_t announcedMs = 0;
    int64_t endedMs = 0; // Its successor of the same name is no part of this.
};

// What one budget's ledger entry says.
struct BudgetState {
    int64_t purchased = 0;
    int64_t billed = 0;
    int64_t escrow = 0;
    int64_t quarantined = 0;
    int64_t pool = 0;
};

// Collects what is seen; each broken promise becomes a line. Usable from many threads.
class Witness
{
public:
    // The price of a payment, in tokens.
    explicit Witness(int64_t paymentPrice);

    // Takes a finished call and checks its answer.
    void add(const Call &call);

    // Takes a line of a target's run log.
    void addRun(const std::string &target, const nlohmann::json &line);

    // Checks what callers got and targets ran so far against the most that can have been purchased
    // by now. A chat is billed for its answer once, whatever attempts it took.
    void checkSpending(int64_t chatBudget, int64_t paymentBudget);

    // Takes the version of the manifest that a process has in force.
    void addVersion(int instance, int incarnation, int64_t version);

    // Checks that no call under way at the signal was cut off.
    void checkShutdown(const Shutdown &shutdown);

    // Checks that the target began nothing later than `slackMs` after it announced its departure.
    void checkDeparture(const Departure &departure, int64_t slackMs);

    // Checks, after all calls, payments and refusals against what the targets ran.
    void checkRuns();

    // Checks the ledger against what was served, once all instances have reported.
    void checkBilling(const BudgetState &chat, const BudgetState &payments);

    // Checks that the budgets hold what the manifest in force purchases.
    void checkPurchase(const BudgetState &budget, int64_t purchased);

    // Tells what was served that the ledger does not account for, if anything; reports may still be
    // under way.
    [[nodiscard]] std::optional<std::string> unaccounted(const BudgetState &chat,
                                                         const BudgetState &payments) const;

    void fail(const std::string &violation);

    [[nodiscard]] std::vector<std::string> violations() const;

    // Renders how many calls ended in which way.
    [[nodiscard]] std::string summary() const;

private:
    struct Run {
        std::string target;
        int64_t startedMs = 0;
    };

    void checkAnswer(const Call &call);
    void checkRefusals(const std::string &key, std::span<const Call> calls);
    void note(std::string violation); // Under the mutex.
    [[nodiscard]] int64_t paymentRuns() const; // Under the mutex.
    // Counts the payments that ran and whose callers do not know it. Under the mutex.
    [[nodiscard]] int64_t paymentsInDoubt() const;

    int64_t paymentPrice;
    mutable std::mutex mutex;
    std::map<std::string, std::vector<Call>> callsPerKey; // Under the mutex, as all that follows.
    std::map<std::string, std::vector<Run>> runsPerKey;
    std::map<std::pair<int, int>, int64_t> versions; // Highest per instance and incarnation.
    int64_t chatTokens = 0; // What callers got.
    int64_t engineTokens = 0; // What engines read and made, in all attempts that they ended.
    std::vector<std::string> broken;
};

} // namespace samphirebridge::soak
