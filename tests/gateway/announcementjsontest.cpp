#include "samphirebridge/gateway/announcementjson.h"
#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace samphirebridge;

namespace
{

nlohmann::json acceptable()
{
    return nlohmann::json::parse(R"({"id": "engine-1", "incarnation": 7, "kind": "engine",
        "address": "127.0.0.1:9001", "data_centre": "quito-1", "models": ["letters"],
        "checks_fencing": true, "state": "leaving",
        "load": {"running": 3, "queued": 1, "capacity": 16, "tokens_per_s": 900.5}})");
}

} // namespace

TEST_CASE("an announcement is read whole")
{
    const auto record = gateway::parseAnnouncement(acceptable().dump());
    REQUIRE(record.ok());
    CHECK(record->id() == "engine-1");
    CHECK(record->incarnation() == 7);
    CHECK(record->state() == proto::LEAVING);
    CHECK(record->checks_fencing());
    CHECK(record->models_size() == 1);
    CHECK(record->load().capacity() == 16);
}

TEST_CASE("each member of a wrong type is a typed error that names it")
{
    const std::vector<std::pair<std::string, nlohmann::json>> wrong{
        {"id", 5},
        {"incarnation", -1},
        {"address", nullptr},
        {"models", "letters"},
        {"checks_fencing", "yes"},
        {"state", "gone"},
        {"load", nlohmann::json::array()}};
    for (const auto &[member, value] : wrong) {
        nlohmann::json body = acceptable();
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
