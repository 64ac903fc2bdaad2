#include "samphirebridge/gateway/announcementjson.h"
#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace samphirebridge;

namespace
{

nlohmann::json validAnnouncement()
{
    return nlohmann::json::parse(R"({"id": "engine-1", "incarnation": 7, "kind": "engine",
        "address": "127.0.0.1:9001", "data_centre": "quito-1", "models": ["letters"],
        "checks_fencing": true, "state": "leaving",
        "load": {"running": 3, "queued": 1, "capacity": 16, "tokens_per_s": 900.5}})");
}

} // namespace

TEST_CASE("all members of an announcement are parsed")
{
    const auto record = gateway::parseAnnouncement(validAnnouncement().dump());
    REQUIRE(record.ok());
    CHECK(record->id() == "engine-1");
    CHECK(record->incarnation() == 7);
    CHECK(record->state() == proto::LEAVING);
    CHECK(record->checks_fencing());
    CHECK(record->models_size() == 1);
    CHECK(record->load().capacity() == 16);
}

TEST_CASE("a malformed announcement is refused with an error that names the wrong member")
{
    const std::vector<std::pair<std::string, nlohmann::json>> wrongValues{
        {"id", 5},
        {"incarnation", -1},
        {"address", nullptr},
        {"models", "letters"},
        {"checks_fencing", "yes"},
        {"state", "gone"},
        {"load", nlohmann::json::array()}};
    for (const auto &[member, value] : wrongValues) {
        nlohmann::json body = validAnnouncement();
        body[member] = value;
        const auto record = gateway::parseAnnouncement(body.dump());
        CHECK(core::errorCodeOf(record.status()) == core::ErrorCode::InvalidAnnouncement);
        CHECK(core::messageOf(record.status()).find(member) != std::string_view::npos);
    }
    for (const std::string &text : {std::string(),
                                    std::string("["),
                                    std::string("[]"),
                                    std::string("\xff\xfe"),
                                    std::string(100'000, '[')}) {
        const auto record = gateway::parseAnnouncement(text);
        CHECK(core::errorCodeOf(record.status()) == core::ErrorCode::InvalidAnnouncement);
    }
}
