// Tests of which observations the soak's witness reports as violations.
#include "utilities/soak/witness.h"

#include <catch2/catch.hpp>

using namespace samphirebridge::soak;

namespace
{

constexpr int64_t Price = 100;

Call payment(const std::string &key, CallEnd end, const std::string &outcome = "")
{
    Call call;
    call.kind = CallKind::Payment;
    call.key = key;
    call.end = end;
    call.outcome = outcome;
    call.expected = key;
    call.text = end == CallEnd::Answered ? key : "";
    call.startedMs = 1'000;
    call.endedMs = 2'000;
    return call;
}

Call stream(const std::string &text, CallEnd end)
{
    Call call;
    call.key = "stream";
    call.end = end;
    call.text = text;
    call.expected = "one two three";
    return call;
}

nlohmann::json runEntry(const std::string &key, int64_t atMs = 1'500)
{
    return {{"event", "run"}, {"key", key}, {"at_ms", atMs}};
}

size_t violationCount(const Witness &witness)
{
    return witness.violations().size();
}

} // namespace

TEST_CASE(
    "an answer must be complete and match its call, and a broken stream must be a prefix of it")
{
    Witness witness(Price);
    witness.addCall(stream("one two three", CallEnd::Answered));
    witness.addCall(stream("one two", CallEnd::Broken));
    witness.addCall(stream("", CallEnd::Refused));
    CHECK(violationCount(witness) == 0);
    witness.addCall(stream("one two", CallEnd::Answered));
    CHECK(violationCount(witness) == 1);
    witness.addCall(stream("one three", CallEnd::Broken));
    CHECK(violationCount(witness) == 2);
    Call mismatched = payment("p", CallEnd::Answered);
    mismatched.text = "q";
    witness.addCall(mismatched);
    CHECK(violationCount(witness) == 3);
}

TEST_CASE("a payment runs at most once, and exactly once if it is answered")
{
    Witness witness(Price);
    witness.addCall(payment("once", CallEnd::Answered));
    witness.addRunLogEntry("payments-3", runEntry("once"));
    witness.checkRuns();
    CHECK(violationCount(witness) == 0);
    witness.addRunLogEntry("payments-4", runEntry("once"));
    witness.checkRuns();
    CHECK(violationCount(witness) == 1);
    witness.addCall(payment("never", CallEnd::Answered));
    witness.checkRuns();
    CHECK(violationCount(witness) == 2);
}

TEST_CASE("a payment refused as not run must not have run, unless an earlier call is in doubt")
{
    Witness witness(Price);
    witness.addCall(payment("doubt", CallEnd::Broken));
    witness.addCall(payment("doubt", CallEnd::Refused, "not_run"));
    witness.addRunLogEntry("payments-3", runEntry("doubt"));
    witness.checkRuns();
    CHECK(violationCount(witness) == 0);
    witness.addCall(payment("untrue", CallEnd::Refused, "not_run"));
    witness.addRunLogEntry("payments-3", runEntry("untrue"));
    witness.checkRuns();
    CHECK(violationCount(witness) == 1);
}

TEST_CASE("spending is checked against the budget while the round runs")
{
    Witness witness(Price);
    Call chat = stream("one two", CallEnd::Broken);
    chat.tokens = 60;
    witness.addCall(chat);
    chat.tokens = 40;
    witness.addCall(chat);
    // Tokens of an attempt that was replaced by another are not spent by the caller.
    witness.addRunLogEntry("engine-0",
                           {{"event", "cancelled"}, {"tokens", 30}, {"prompt_tokens", 10}});
    witness.checkSpending(100, 0);
    CHECK(violationCount(witness) == 0);
    witness.checkSpending(99, 0);
    CHECK(violationCount(witness) == 1);
    witness.addCall(payment("p", CallEnd::Answered));
    witness.addRunLogEntry("payments-3", runEntry("p"));
    witness.checkSpending(100, 100);
    CHECK(violationCount(witness) == 1);
    witness.checkSpending(100, 99);
    CHECK(violationCount(witness) == 2);
}

TEST_CASE("a process does not return to an older manifest, but a restarted one may")
{
    Witness witness(Price);
    witness.addVersion(0, 0, 4);
    witness.addVersion(0, 0, 5);
    witness.addVersion(1, 0, 4);
    witness.addVersion(0, 1, 0);
    CHECK(violationCount(witness) == 0);
    witness.addVersion(0, 0, 4);
    CHECK(violationCount(witness) == 1);
}

TEST_CASE("a shutdown breaks no call that was under way")
{
    Witness witness(Price);
    Call late = payment("late", CallEnd::Broken);
    late.startedMs = 1'600;
    witness.addCall(late);
    Call elsewhere = payment("elsewhere", CallEnd::Broken);
    elsewhere.instance = 1;
    witness.addCall(elsewhere);
    witness.checkShutdown({.instance = 0, .signalledMs = 1'500, .endedMs = 3'000});
    CHECK(violationCount(witness) == 0);
    witness.addCall(payment("cut", CallEnd::Broken));
    witness.checkShutdown({.instance = 0, .signalledMs = 1'500, .endedMs = 3'000});
    CHECK(violationCount(witness) == 1);
}

TEST_CASE("a leaving target is sent no work once the slack has passed")
{
    Witness witness(Price);
    witness.addRunLogEntry("payments-3", runEntry("early", 5'000));
    witness.addRunLogEntry("payments-4", runEntry("other", 6'000));
    witness.addRunLogEntry("payments-3", runEntry("successor", 9'000));
    witness.checkDeparture({.target = "payments-3", .announcedMs = 1'000, .endedMs = 7'000}, 4'000);
    CHECK(violationCount(witness) == 0);
    witness.addRunLogEntry("payments-3", runEntry("late", 5'001));
    witness.checkDeparture({.target = "payments-3", .announcedMs = 1'000, .endedMs = 7'000}, 4'000);
    CHECK(violationCount(witness) == 1);
}

TEST_CASE("the ledger's accounts add up, and calls are billed once")
{
    Witness witness(Price);
    witness.addCall(payment("paid", CallEnd::Answered));
    witness.addRunLogEntry("payments-3", runEntry("paid"));
    witness.addCall(payment("refused", CallEnd::Refused, "not_run"));
    Call letter = stream("one two three", CallEnd::Answered);
    letter.tokens = 10;
    letter.maxBilledTokens = 10;
    witness.addCall(letter);
    const BudgetState chat{
        .purchased = 50, .billed = 10, .escrow = 20, .quarantined = 5, .pool = 15};
    const BudgetState paid{.purchased = 300, .billed = 100, .pool = 200};
    CHECK(witness.describeUnaccounted(chat, paid) == std::nullopt);
    witness.checkBilling(chat, paid);
    CHECK(violationCount(witness) == 0);
    witness.addCall(payment("doubtful", CallEnd::Refused, "unknown"));
    witness.addRunLogEntry("payments-3", runEntry("doubtful"));
    CHECK(witness.describeUnaccounted(chat, paid) == std::nullopt);
    const BudgetState unpaid{.purchased = 300, .pool = 300};
    CHECK(witness.describeUnaccounted(chat, unpaid) != std::nullopt);
    const BudgetState twice{.purchased = 300, .billed = 300};
    witness.checkBilling(chat, twice);
    CHECK(violationCount(witness) == 1);
    const BudgetState twiceRead{
        .purchased = 50, .billed = 20, .escrow = 10, .quarantined = 5, .pool = 15};
    witness.checkBilling(twiceRead, paid);
    CHECK(violationCount(witness) == 2);
    witness.checkPurchase(chat, 50);
    CHECK(violationCount(witness) == 2);
    witness.checkPurchase(chat, 60);
    CHECK(violationCount(witness) == 3);
    const BudgetState lost{.purchased = 300, .billed = 100, .pool = 150};
    witness.checkBilling(chat, lost);
    CHECK(violationCount(witness) == 4);
}
