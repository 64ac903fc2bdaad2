#include "samphirebridge/gateway/announcementjson.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/gateway/jsonanswer.h"

#include <fmt/format.h>

#include <cstdint>
#include <string>

namespace samphirebridge::gateway
{

namespace
{

using nlohmann::json;

absl::Status wrongMember(std::string_view member, std::string_view accepted)
{
    return core::makeError(
        core::ErrorCode::InvalidAnnouncement,
        fmt::format("\"{}\" is missing or of another type; accepted is {}", member, accepted));
}

// Reads members of one object and remembers the first that is wrong.
class MemberReader
{
public:
    explicit MemberReader(const json &readObject)
        : object(readObject)
    {
    }

    std::string text(const char *member)
    {
        const auto found = this->object.find(member);
        if (found == this->object.end() || !found->is_string()) {
            this->fail(member, "a string");
            return {};
        }
        return found->get<std::string>();
    }

    uint64_t number(const char *member)
    {
        const auto found = this->object.find(member);
        if (found == this->object.end() || !found->is_number_unsigned()) {
            this->fail(member, "a whole number, not negative");
            return 0;
        }
        return found->get<uint64_t>();
    }

    uint32_t smallNumber(const char *member)
    {
        const uint64_t value = this->number(member);
        if (value > UINT32_MAX) {
            this->fail(member, "a whole number below 2^32");
            return 0;
        }
        return static_cast<uint32_t>(value);
    }

    double real(const char *member)
    {
        const auto found = this->object.find(member);
        if (found == this->object.end() || !found->is_number()) {
            this->fail(member, "a number");
            return 0;
        }
        return found->get<double>();
    }

    bool flag(const char *member)
    {
        const auto found = this->object.find(member);
        if (found == this->object.end()) {
            return false;
        }
        if (!found->is_boolean()) {
            this->fail(member, "true or false");
            return false;
        }
        return found->get<bool>();
    }

    void fail(std::string_view member, std::string_view accepted)
    {
        if (this->status.ok()) {
            this->status = wrongMember(member, accepted);
        }
    }

    [[nodiscard]] const absl::Status &result() const
    {
        return this->status;
    }

private:
    const json &object;
    absl::Status status;
};

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
        return wrongMember("load", "an object");
    }
    MemberReader reader(*load);
    record.mutable_load()->set_running(reader.smallNumber("running"));
    record.mutable_load()->set_queued(reader.smallNumber("queued"));
    record.mutable_load()->set_capacity(reader.smallNumber("capacity"));
    record.mutable_load()->set_tokens_per_s(reader.real("tokens_per_s"));
    return reader.result();
}

} // namespace

absl::StatusOr<proto::TargetRecord> parseAnnouncement(std::string_view body)
{
    const auto object = parseObject(body);
    if (!object) {
        return core::makeError(core::ErrorCode::InvalidAnnouncement,
                               "the body is not a JSON object");
    }
    MemberReader reader(*object);
    proto::TargetRecord record;
    record.set_id(reader.text("id"));
    record.set_incarnation(reader.number("incarnation"));
    record.set_address(reader.text("address"));
    record.set_kind(reader.text("kind"));
    record.set_data_centre(reader.text("data_centre"));
    record.set_checks_fencing(reader.flag("checks_fencing"));
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
