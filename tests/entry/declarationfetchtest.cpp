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

// The most that one answer carries.
constexpr size_t PartBytes = 16384;

// Random digits, so that compression alone does not make them few.
std::string randomContent(size_t bytes)
{
    std::mt19937_64 random(3);
    std::string content;
    while (content.size() < bytes) {
        content += fmt::format("{:016x}", random());
    }
    return content;
}

// A control instance: the ledger with the declaration, and what serves it.
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

// An entry instance that puts every change in force at once.
class Instance
{
public:
    // Asks until nothing is due at the time, or so many times. Returns the bytes received.
    size_t ask(Source &source, int most = 1'000)
    {
        size_t received = 0;
        for (int turn = 0; turn < most; ++turn) {
            const auto step = this->fetch.next(Control, this->now);
            if (!step) {
                break;
            }
            const proto::FetchDeclarationReply reply = source.answer(step->request);
            received += reply.part().size();
            const auto change = this->fetch.onReply(reply, this->now);
            REQUIRE(change.ok());
            if (*change) {
                this->take(**change);
            }
        }
        return received;
    }

    void take(const proto::DeclarationChange &change)
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
        this->fetch.onHeld(this->version, this->now);
    }

    entry::DeclarationFetch fetch{0};
    core::TimePoint now = core::TimePoint{} + 1h;
    std::string content;
    uint64_t version = 0;
    int changes = 0;
};

} // namespace

TEST_CASE("an instance that holds nothing asks without being told, and gets the whole in parts")
{
    Source source;
    source.declare(4, randomContent(100'000));
    Instance instance;
    CHECK(instance.ask(source, 1) <= PartBytes);
    CHECK(instance.version == 0);
    instance.ask(source);
    CHECK(instance.version == 4);
    CHECK((instance.content == source.ledger.declaration().content()));
}

// Guards against a storm of changes that costs many times its last.
TEST_CASE("changes in quick succession are fetched together, as what differs")
{
    Source source;
    std::string content = randomContent(400'000);
    source.declare(1, content);
    Instance instance;
    const size_t whole = instance.ask(source);
    size_t received = 0;
    for (uint64_t version = 2; version <= 26; ++version) {
        content[version * 1'000] = '#';
        source.declare(version, content);
        instance.fetch.onNotice(First, version);
        instance.now += 80ms;
        received += instance.ask(source);
    }
    instance.now += 1s;
    received += instance.ask(source);
    CHECK((instance.content == content));
    CHECK(instance.changes <= 7);
    CHECK(received < whole / 20);
}

// Guards against a slow instance that begins anew with each version and never gets one.
TEST_CASE("a transfer that has begun is ended although newer versions come")
{
    Source source;
    std::string content = randomContent(200'000);
    source.declare(1, content);
    Instance instance;
    uint64_t newest = 1;
    while (instance.version == 0) {
        REQUIRE(newest < 30);
        instance.ask(source, 1);
        content[++newest] = '#';
        source.declare(newest, content);
    }
    instance.now += 1s;
    instance.fetch.onNotice(First, newest);
    instance.ask(source);
    CHECK((instance.content == content));
}

// Guards against half of a transfer that is thrown away when its source is lost.
TEST_CASE("a transfer goes on at another instance where it stopped")
{
    Source first;
    Source second;
    const std::string content = randomContent(100'000);
    first.declare(1, content);
    second.declare(1, content);
    Instance instance;
    instance.fetch.onNotice(First, 1);
    const size_t before = instance.ask(first, 2);
    CHECK(before == 2 * PartBytes);
    const auto lost = instance.fetch.next(Control, instance.now);
    REQUIRE(lost);
    CHECK(lost->to == First);
    CHECK_FALSE(
        instance.fetch.onReply(core::makeError(core::ErrorCode::Timeout, "no answer"), instance.now)
            .ok());
    CHECK_FALSE(instance.fetch.next(Control, instance.now)); // It pauses before it asks again.
    instance.now += 200ms;
    const size_t after = instance.ask(second);
    CHECK((instance.content == content));
    CHECK(before + after < content.size());
}

TEST_CASE("an instance that has not applied what another told of is not asked again and again")
{
    Source behind;
    behind.declare(1, "old");
    Source ahead;
    ahead.declare(1, "old");
    ahead.declare(2, "new");
    Instance instance;
    instance.ask(behind);
    instance.now += 1s;
    instance.fetch.onNotice(Second, 2);
    auto step = instance.fetch.next(Control, instance.now);
    REQUIRE(step);
    CHECK(step->to == Second);
    REQUIRE(instance.fetch.onReply(behind.answer(step->request), instance.now).ok());
    CHECK_FALSE(instance.fetch.next(Control, instance.now));
    instance.now += 1s;
    instance.ask(ahead);
    CHECK(instance.content == "new");
}

TEST_CASE("versions only rise: what is older than held is neither asked for nor taken")
{
    Source source;
    source.declare(5, "five");
    Instance instance;
    instance.ask(source);
    instance.now += 1s;
    instance.fetch.onNotice(First, 4);
    instance.fetch.onNotice(First, 5);
    CHECK_FALSE(instance.fetch.next(Control, instance.now));
    Source old;
    old.declare(3, "three");
    instance.fetch.onNotice(First, 6);
    instance.ask(old);
    CHECK(instance.content == "five");
}

TEST_CASE("a change that does not fit what is held is replaced by the whole")
{
    Source source;
    source.declare(1, randomContent(1'000));
    Instance instance;
    instance.ask(source);
    source.declare(2, randomContent(1'000) + "end");
    instance.now += 1s;
    instance.fetch.onNotice(First, 2);
    instance.fetch.restart(instance.now);
    instance.now += 1s;
    const auto step = instance.fetch.next(Control, instance.now);
    REQUIRE(step);
    CHECK(step->request.known_version() == 0);
}

TEST_CASE("parts that do not belong together, or are too many, give no change")
{
    Instance instance;
    const auto step = instance.fetch.next(Control, instance.now);
    REQUIRE(step);
    proto::FetchDeclarationReply reply;
    reply.set_version(1);
    reply.set_checksum(1);
    reply.set_total_bytes(4);
    reply.set_part("12345");
    CHECK_FALSE(instance.fetch.onReply(reply, instance.now).ok());
    instance.now += 1s;
    REQUIRE(instance.fetch.next(Control, instance.now));
    reply.set_part("1234");
    CHECK_FALSE(instance.fetch.onReply(reply, instance.now).ok()); // Not the checksum's bytes.
}
