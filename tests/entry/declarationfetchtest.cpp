#include "samphirebridge/entry/declarationfetch.h"
#include "samphirebridge/control/declarationsource.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/delta/contentdelta.h"
#include "samphirebridge/ledger/ledger.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <random>

using namespace samphirebridge;
using namespace std::chrono_literals;

namespace
{

const core::InstanceId First("c1");
const core::InstanceId Second("c2");
const std::vector<core::InstanceId> Control{First, Second};

// The size of a full part of a transfer.
constexpr size_t PartBytes = 16384;

// Returns random digits, which a delta can't compress much.
std::string randomContent(size_t bytes)
{
    std::mt19937_64 random(3);
    std::string content;
    while (content.size() < bytes) {
        content += fmt::format("{:016x}", random());
    }
    return content;
}

// A control instance with the declaration in its ledger, which answers fetch requests.
class Source
{
public:
    void declare(uint64_t version, const std::string &content)
    {
        proto::Command command;
        proto::Declaration *declaration
            = command.mutable_replace_declaration()->mutable_declaration();
        declaration->set_version(version);
        declaration->set_content(content);
        this->ledger.apply(command, ++this->index);
    }

    proto::FetchDeclarationReply answer(const proto::FetchDeclarationRequest &request)
    {
        return this->source.answer(request, this->ledger);
    }

    ledger::Ledger ledger;

private:
    control::DeclarationSource source;
    uint64_t index = 0;
};

// An entry instance that applies every fetched change at once.
class Instance
{
public:
    // Sends requests to the source until none is due at `now`, at most maxRequests. Returns the
    // number of bytes received.
    size_t sendRequests(Source &source, int maxRequests = 1'000)
    {
        size_t received = 0;
        for (int request = 0; request < maxRequests; ++request) {
            const auto outgoing = this->fetch.nextRequest(Control, this->now);
            if (!outgoing) {
                break;
            }
            const proto::FetchDeclarationReply reply = source.answer(outgoing->request);
            received += reply.part().size();
            const auto change = this->fetch.onReply(outgoing->to, reply, this->now);
            REQUIRE(change.ok());
            if (*change) {
                this->applyChange(**change);
            }
        }
        return received;
    }

    void applyChange(const proto::DeclarationChange &change)
    {
        if (change.base_version() == 0) {
            this->content.clear();
        }
        for (const proto::ContentDelta &delta : change.deltas()) {
            auto next = delta::applyDelta(this->content, delta);
            REQUIRE(next.ok());
            this->content = *std::move(next);
        }
        this->version = change.version();
        ++this->changes;
        this->fetch.onVersionHeld(this->version, this->now);
    }

    entry::DeclarationFetch fetch{0};
    core::TimePoint now = core::TimePoint{} + 1h;
    std::string content;
    uint64_t version = 0;
    int changes = 0;
};

} // namespace

TEST_CASE("an instance without a declaration fetches it in parts, without a notice")
{
    Source source;
    source.declare(4, randomContent(100'000));
    Instance instance;
    CHECK(instance.sendRequests(source, 1) <= PartBytes);
    CHECK(instance.version == 0);
    instance.sendRequests(source);
    CHECK(instance.version == 4);
    CHECK((instance.content == source.ledger.declaration().content()));
}

// Guards against a transfer for every version when the declaration changes many times in a row.
TEST_CASE("changes in quick succession are fetched together, as deltas")
{
    Source source;
    std::string content = randomContent(400'000);
    source.declare(1, content);
    Instance instance;
    const size_t whole = instance.sendRequests(source);
    size_t received = 0;
    for (uint64_t version = 2; version <= 26; ++version) {
        content[version * 1'000] = '#';
        source.declare(version, content);
        instance.fetch.onNotice(First, version);
        instance.now += 80ms;
        received += instance.sendRequests(source);
    }
    instance.now += 1s;
    received += instance.sendRequests(source);
    CHECK((instance.content == content));
    CHECK(instance.changes <= 7);
    CHECK(received < whole / 20);
}

// Guards against a slow instance that restarts the transfer with each new version, and so never
// completes one.
TEST_CASE("a transfer that has begun is completed although newer versions are committed")
{
    Source source;
    std::string content = randomContent(200'000);
    source.declare(1, content);
    Instance instance;
    uint64_t newest = 1;
    while (instance.version == 0) {
        REQUIRE(newest < 30);
        instance.sendRequests(source, 1);
        content[++newest] = '#';
        source.declare(newest, content);
    }
    instance.now += 1s;
    instance.fetch.onNotice(First, newest);
    instance.sendRequests(source);
    CHECK((instance.content == content));
}

// Guards against a transfer that starts again from the first part when its source fails.
TEST_CASE("an interrupted transfer continues with the next part from another instance")
{
    Source first;
    Source second;
    const std::string content = randomContent(100'000);
    first.declare(1, content);
    second.declare(1, content);
    Instance instance;
    instance.fetch.onNotice(First, 1);
    const size_t before = instance.sendRequests(first, 2);
    CHECK(before == 2 * PartBytes);
    const auto lost = instance.fetch.nextRequest(Control, instance.now);
    REQUIRE(lost);
    CHECK(lost->to == First);
    CHECK_FALSE(
        instance.fetch
            .onReply(lost->to, core::makeError(core::ErrorCode::Timeout, "no answer"), instance.now)
            .ok());
    CHECK_FALSE(
        instance.fetch.nextRequest(Control, instance.now)); // Pauses before the next request.
    instance.now += 200ms;
    const size_t after = instance.sendRequests(second);
    CHECK((instance.content == content));
    CHECK(before + after < content.size());
}

TEST_CASE("an instance that does not have the version that it announced is not asked again at once")
{
    Source behind;
    behind.declare(1, "old");
    Source ahead;
    ahead.declare(1, "old");
    ahead.declare(2, "new");
    Instance instance;
    instance.sendRequests(behind);
    instance.now += 1s;
    instance.fetch.onNotice(Second, 2);
    auto outgoing = instance.fetch.nextRequest(Control, instance.now);
    REQUIRE(outgoing);
    CHECK(outgoing->to == Second);
    REQUIRE(instance.fetch.onReply(Second, behind.answer(outgoing->request), instance.now).ok());
    CHECK_FALSE(instance.fetch.nextRequest(Control, instance.now));
    instance.now += 1s;
    instance.sendRequests(ahead);
    CHECK(instance.content == "new");
}

TEST_CASE("a version that is not newer than the held one is neither requested nor applied")
{
    Source source;
    source.declare(5, "five");
    Instance instance;
    instance.sendRequests(source);
    instance.now += 1s;
    instance.fetch.onNotice(First, 4);
    instance.fetch.onNotice(First, 5);
    CHECK_FALSE(instance.fetch.nextRequest(Control, instance.now));
    Source old;
    old.declare(3, "three");
    instance.fetch.onNotice(First, 6);
    instance.sendRequests(old);
    CHECK(instance.content == "five");
}

TEST_CASE("after a change that does not apply to the held version the full content is requested")
{
    Source source;
    source.declare(1, randomContent(1'000));
    Instance instance;
    instance.sendRequests(source);
    source.declare(2, randomContent(1'000) + "end");
    instance.now += 1s;
    instance.fetch.onNotice(First, 2);
    instance.fetch.restart(instance.now);
    instance.now += 1s;
    const auto outgoing = instance.fetch.nextRequest(Control, instance.now);
    REQUIRE(outgoing);
    CHECK(outgoing->request.known_version() == 0);
}

TEST_CASE("a part that exceeds the total size or does not match the checksum yields no change")
{
    Instance instance;
    const auto outgoing = instance.fetch.nextRequest(Control, instance.now);
    REQUIRE(outgoing);
    proto::FetchDeclarationReply reply;
    reply.set_version(1);
    reply.set_checksum(1);
    reply.set_total_bytes(4);
    reply.set_part("12345");
    CHECK_FALSE(instance.fetch.onReply(outgoing->to, reply, instance.now).ok());
    instance.now += 1s;
    const auto next = instance.fetch.nextRequest(Control, instance.now);
    REQUIRE(next);
    reply.set_part("1234");
    CHECK_FALSE(
        instance.fetch.onReply(next->to, reply, instance.now).ok()); // Does not match the checksum.
}

// Guards against a long transfer that each notice moves to another instance, which may begin it
// anew.
TEST_CASE("a transfer under way stays with its source although others announce versions")
{
    Source source;
    source.declare(1, randomContent(100'000));
    Instance instance;
    instance.fetch.onNotice(First, 1);
    instance.sendRequests(source, 2);
    instance.fetch.onNotice(Second, 1);
    instance.fetch.onNotice(Second, 2);
    const auto next = instance.fetch.nextRequest(Control, instance.now);
    REQUIRE(next);
    CHECK(next->to == First);
}

// Guards against an instance that waits for one that hangs, although others would answer.
TEST_CASE("while a reply is late another control instance is asked, and the first reply counts")
{
    Source source;
    source.declare(1, "one");
    Instance instance;
    instance.fetch.onNotice(First, 1);
    const auto late = instance.fetch.nextRequest(Control, instance.now);
    REQUIRE(late);
    CHECK(late->to == First);
    instance.now += 100ms;
    CHECK_FALSE(instance.fetch.nextRequest(Control, instance.now));
    instance.now += 50ms;
    const auto other = instance.fetch.nextRequest(Control, instance.now);
    REQUIRE(other);
    CHECK(other->to == Second);
    const auto change = instance.fetch.onReply(Second, source.answer(other->request), instance.now);
    REQUIRE(change.ok());
    REQUIRE(*change);
    instance.applyChange(**change);
    // The late reply builds on a version that is no longer held.
    source.declare(2, "two");
    const auto overtaken
        = instance.fetch.onReply(First, source.answer(late->request), instance.now);
    REQUIRE(overtaken.ok());
    CHECK_FALSE(*overtaken);
    CHECK(instance.content == "one");
}

// Guards against a control instance that is cut off from the leader and is asked first each time.
TEST_CASE("an instance that had nothing new is asked last unless it announces a version")
{
    const std::vector<core::InstanceId> control{First, Second, core::InstanceId("c3")};
    Source behind;
    behind.declare(1, "one");
    Instance instance;
    instance.sendRequests(behind);
    instance.now += 1s;
    instance.fetch.onNotice(First, 2);
    const auto first = instance.fetch.nextRequest(control, instance.now);
    REQUIRE(first);
    CHECK(first->to == First);
    REQUIRE(instance.fetch.onReply(First, behind.answer(first->request), instance.now).ok());
    const auto failure = core::makeError(core::ErrorCode::Timeout, "no answer");
    for (int request = 0; request < 2; ++request) {
        instance.now += 100ms;
        const auto next = instance.fetch.nextRequest(control, instance.now);
        REQUIRE(next);
        CHECK(next->to != First);
        CHECK_FALSE(instance.fetch.onReply(next->to, failure, instance.now).ok());
    }
    instance.now += 100ms;
    instance.fetch.onNotice(First, 3);
    const auto announced = instance.fetch.nextRequest(control, instance.now);
    REQUIRE(announced);
    CHECK(announced->to == First);
}

// Guards against a second decoding right after a change because a request of before has failed.
TEST_CASE("a late failure does not shorten the pause after a change")
{
    Source source;
    source.declare(1, "one");
    Instance instance;
    instance.fetch.onNotice(First, 1);
    REQUIRE(instance.fetch.nextRequest(Control, instance.now));
    instance.now += 150ms;
    instance.sendRequests(source);
    REQUIRE(instance.version == 1);
    instance.fetch.onNotice(Second, 2);
    const auto failure = core::makeError(core::ErrorCode::Timeout, "no answer");
    CHECK_FALSE(instance.fetch.onReply(First, failure, instance.now).ok());
    instance.now += 390ms;
    CHECK_FALSE(instance.fetch.nextRequest(Control, instance.now));
    instance.now += 10ms;
    CHECK(instance.fetch.nextRequest(Control, instance.now));
}
