// Which requests are accepted during a planned stop.
#include "samphirebridge/forwarding/stopadmission.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;

namespace
{

constexpr core::TimePoint Abort(100s);

// A route whose requests may take 12 s, and the admission of an instance that stops.
struct Stop {
    explicit Stop(forwarding::RequestKind kind = forwarding::RequestKind::Repeatable)
    {
        this->route.name = "letters";
        this->route.kind = kind;
        this->route.timeout = 12s;
    }

    void answer(core::Duration took, int times)
    {
        for (int number = 0; number < times; ++number) {
            this->admission.onAnswered(this->route.name, took);
        }
    }

    [[nodiscard]] bool acceptsBefore(core::Duration left) const
    {
        return this->admission.accepts(this->route, this->request, Abort - left);
    }

    forwarding::Route route;
    forwarding::CallerRequest request;
    forwarding::StopAdmission admission;
};

} // namespace

TEST_CASE("every request is accepted until a stop begins")
{
    Stop stop;
    stop.answer(11s, 10);
    CHECK(stop.acceptsBefore(0s));
}

TEST_CASE("a request whose own time limit ends before the abort is accepted")
{
    Stop stop;
    stop.admission.beginStop(Abort);
    stop.answer(11s, 10);
    stop.request.timeout = 4s;
    CHECK(stop.acceptsBefore(4s));
    CHECK_FALSE(stop.acceptsBefore(3900ms));
}

TEST_CASE("a request is refused if others of its route take longer than is left")
{
    for (const auto kind : {forwarding::RequestKind::Repeatable,
                            forwarding::RequestKind::Once,
                            forwarding::RequestKind::Stream}) {
        Stop stop(kind);
        stop.admission.beginStop(Abort);
        stop.answer(5s, 10);
        CHECK(stop.acceptsBefore(5s));
        CHECK_FALSE(stop.acceptsBefore(4900ms));
    }
}

TEST_CASE("a request of a route of which nothing is known is taken to need its time limit")
{
    Stop stop;
    stop.admission.beginStop(Abort);
    stop.admission.onAnswered("another", 1ms);
    CHECK(stop.acceptsBefore(12s));
    CHECK_FALSE(stop.acceptsBefore(11s));
}

TEST_CASE("a caller that waits for longer than the route allows gets no more time")
{
    Stop stop;
    stop.admission.beginStop(Abort);
    stop.request.timeout = 60s;
    CHECK(stop.acceptsBefore(12s));
}
