#include "samphirebridge/gateway/operatorjson.h"

namespace samphirebridge::gateway
{

namespace
{

using nlohmann::json;

template <typename Strings>
json jsonArray(const Strings &strings)
{
    json result = json::array();
    for (const auto &string : strings) {
        result.push_back(string);
    }
    return result;
}

json targetsJson(std::span<const proto::TargetRecord> targets)
{
    json result = json::array();
    for (const proto::TargetRecord &target : targets) {
        result.push_back({{"id", target.id()},
                          {"incarnation", target.incarnation()},
                          {"kind", target.kind()},
                          {"address", target.address()},
                          {"state", target.state() == proto::READY ? "ready" : "leaving"},
                          {"models", jsonArray(target.models())}});
    }
    return result;
}

} // namespace

json budgetJson(const proto::BudgetState &budget)
{
    return {{"budget", budget.budget()},
            {"purchased_tokens", budget.purchased_tokens()},
            {"billed_tokens", budget.billed_tokens()},
            {"escrow_tokens", budget.escrow_tokens()},
            {"quarantined_tokens", budget.quarantined_tokens()},
            {"pool_tokens", budget.pool_tokens()}};
}

json instancesJson(std::span<const membership::InstanceView> instances)
{
    json result = json::array();
    for (const membership::InstanceView &view : instances) {
        result.push_back({{"id", view.record.id()},
                          {"incarnation", view.record.incarnation()},
                          {"manifest_version", view.record.manifest_version()},
                          {"leaving", view.record.leaving()},
                          {"live", view.inContact}});
    }
    return result;
}

json evacuationsJson(std::span<const proto::Evacuation> evacuations,
                     std::span<const membership::InstanceView> instances)
{
    json result = json::array();
    for (const proto::Evacuation &evacuation : evacuations) {
        if (evacuation.revision() == 0) {
            continue;
        }
        json inForce = json::array();
        json notConfirmed = json::array();
        for (const membership::InstanceView &view : instances) {
            if (view.inContact && view.record.serves()) {
                const bool confirmed = view.record.declaration_version() >= evacuation.revision();
                (confirmed ? inForce : notConfirmed).push_back(view.record.id());
            }
        }
        result.push_back({{"data_centre", evacuation.data_centre()},
                          {"evacuated", evacuation.evacuated()},
                          {"since_ms", evacuation.changed_at_ms()},
                          {"revision", evacuation.revision()},
                          {"in_force_on", inForce},
                          {"not_confirmed_by", notConfirmed}});
    }
    return result;
}

json statusJson(const proto::ReadStatusReply &status,
                std::span<const membership::InstanceView> instances,
                std::span<const proto::TargetRecord> targets)
{
    json claims = json::array();
    for (const proto::RequestKey &key : status.unresolved_claims()) {
        claims.push_back({{"organisation", key.organisation()}, {"key", key.key()}});
    }
    return {{"leader", status.leader_instance()},
            {"term", status.term()},
            {"commit_index", status.commit_index()},
            {"manifest_version", status.manifest_version()},
            {"voters", jsonArray(status.configuration().voters())},
            {"learners", jsonArray(status.configuration().learners())},
            {"instances", instancesJson(instances)},
            {"targets", targetsJson(targets)},
            {"claims_in_doubt", claims}};
}

} // namespace samphirebridge::gateway
