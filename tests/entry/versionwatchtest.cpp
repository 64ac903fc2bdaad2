#include "samphirebridge/entry/versionwatch.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <set>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using entry::VersionWatch;

namespace
{

std::vector<core::InstanceId> makeControl(size_t count)
{
    std::vector<core::InstanceId> control;
    control.reserve(count);
    for (size_t number = 0; number < count; ++number) {
        control.emplace_back("c" + std::to_string(number));
    }
    return control;
}

const core::TimePoint Begin{1h};

} // namespace

TEST_CASE("no question is due while the last confirmation is recent")
{
    const auto control = makeControl(5);
    VersionWatch watch(0);
    CHECK(watch.nextQuestion(control, Begin));
    watch.onConfirmed(control[0], Begin);
    CHECK_FALSE(watch.nextQuestion(control, Begin + 690ms));
    CHECK(watch.nextQuestion(control, Begin + 700ms) == control[0]);
}

// Guards against a round of questions that takes longer in a fleet with more control instances.
TEST_CASE("every control instance is asked once within half a second if none confirms")
{
    for (const size_t count : {1, 3, 5, 7}) {
        const auto control = makeControl(count);
        VersionWatch watch(3);
        std::set<core::InstanceId> asked;
        for (core::TimePoint now = Begin; now < Begin + 500ms; now += 10ms) {
            if (const auto next = watch.nextQuestion(control, now)) {
                asked.insert(*next);
            }
        }
        CHECK(asked.size() == count);
    }
}

TEST_CASE("without a confirmation the questions become less frequent")
{
    const auto control = makeControl(5);
    VersionWatch watch(0);
    size_t questions = 0;
    for (core::TimePoint now = Begin; now < Begin + 60s; now += 10ms) {
        questions += watch.nextQuestion(control, now) ? 1 : 0;
    }
    CHECK(questions <= 90);
    watch.onConfirmed(control[2], Begin + 60s);
    CHECK_FALSE(watch.nextQuestion(control, Begin + 60s));
    CHECK(watch.nextQuestion(control, Begin + 61s) == control[2]);
}

TEST_CASE("an older confirmation than the last one changes nothing")
{
    const auto control = makeControl(3);
    VersionWatch watch(0);
    watch.onConfirmed(control[1], Begin);
    watch.onConfirmed(control[2], Begin - 1s);
    CHECK_FALSE(watch.nextQuestion(control, Begin + 699ms));
    CHECK(watch.nextQuestion(control, Begin + 700ms) == control[1]);
}
