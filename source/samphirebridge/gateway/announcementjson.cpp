#include "samphirebridge/gateway/announcementjson.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/jsontext/memberreader.h"
#include "samphirebridge/jsontext/parseobject.h"

#include <string>

namespace samphirebridge::gateway
{

namespace
{

using jsontext::MemberReader;
using nlohmann::json;

void readModels(const json &object, MemberReader &reader, proto::TargetRecord &record)
{
    const auto models = object.find("models");
    if (models == object.end()) {
        return;
    }
    if (!models->is_array()) {
        reader.fail("models", "a list of strings");
        return;
    }
    for (const json &model : *models) {
        if (!model.is_string()) {
            reader.fail("models", "a list of strings");
            return;
        }
        record.add_models(model.get<std::string>());
    }
}

void readState(MemberReader &reader, proto::TargetRecord &record)
{
    const std::string state = reader.text("state");
    if (state == "ready") {
        record.set_state(proto::READY);
    } else if (state == "leaving") {
        record.set_state(proto::LEAVING);
    } else {
        reader.fail("state", "\"ready\" or \"leaving\"");
    }
}

absl::Status readLoad(const json &object, proto::TargetRecord &record)
{
    const auto load = object.find("load");
    if (load == object.end()) {
        return absl::OkStatus();
    }
    if (!load->is_object()) {
        MemberReader announcementReader(object, core::ErrorCode::InvalidAnnouncement);
        announcementReader.fail("load", "an object");
        return announcementReader.result();
    }
    MemberReader reader(*load, core::ErrorCode::InvalidAnnouncement);
    record.mutable_load()->set_running(reader.smallNumber("running"));
    record.mutable_load()->set_queued(reader.smallNumber("queued"));
    record.mutable_load()->set_capacity(reader.smallNumber("capacity"));
    record.mutable_load()->set_tokens_per_s(reader.real("tokens_per_s"));
    return reader.result();
}

} // namespace

absl::StatusOr<proto::TargetRecord> parseAnnouncement(std::string_view body)
{
    const auto object = jsontext::parseObject(body);
    if (!object) {
        return core::makeError(core::ErrorCode::InvalidAnnouncement,
                               "the body is not a JSON object");
    }
    MemberReader reader(*object, core::ErrorCode::InvalidAnnouncement);
    proto::TargetRecord record;
    record.set_id(reader.text("id"));
    record.set_incarnation(reader.number("incarnation"));
    record.set_address(reader.text("address"));
    record.set_kind(reader.text("kind"));
    record.set_data_centre(reader.text("data_centre"));
    record.set_checks_fencing(reader.flagOr("checks_fencing", false));
    readModels(*object, reader, record);
    readState(reader, record);
    if (!reader.result().ok()) {
        return reader.result();
    }
    const absl::Status load = readLoad(*object, record);
    if (!load.ok()) {
        return load;
    }
    return record;
}

} // namespace samphirebridge::gateway
