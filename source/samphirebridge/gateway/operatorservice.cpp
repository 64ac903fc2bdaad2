#include "samphirebridge/gateway/operatorservice.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/gateway/await.h"
#include "samphirebridge/gateway/jsonanswer.h"
#include "samphirebridge/gateway/operatorjson.h"
#include "samphirebridge/gateway/requestfields.h"
#include "samphirebridge/jsontext/parseobject.h"
#include "samphirebridge/manifest/manifestdelta.h"
#include "samphirebridge/manifest/manifestfile.h"
#include "samphirebridge/storage/memberidentity.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

namespace samphirebridge::gateway
{

namespace
{

// Timeout of an operator's command or read at the ledger.
constexpr core::Duration OperatorTimeout = std::chrono::seconds(5);

// How long an apply waits for a version to be in force: before the command for the expected version
// at this instance, after it for the new version at all instances in contact.
constexpr core::Duration InForceTimeout = std::chrono::seconds(4);
constexpr core::Duration InForcePollInterval = std::chrono::milliseconds(20);

void sendInvalidBody(http::ResponseWriter &writer, std::string_view accepted)
{
    sendError(writer,
              core::ErrorCode::InvalidRequest,
              fmt::format("the body lacks a member or has one of a wrong type; accepted is {}",
                          accepted));
}

} // namespace

OperatorService::OperatorService(entry::EntryNode &entryNode,
                                 control::LedgerClient &ledgerClient,
                                 entry::FleetControl &fleetControl,
                                 transport::PeerSet &peerSet,
                                 runtime::TaskQueue &taskQueue,
                                 std::vector<std::string> digests,
                                 LocalChangeVoters localVoterChange)
    : node(entryNode)
    , client(ledgerClient)
    , control(fleetControl)
    , peers(peerSet)
    , queue(taskQueue)
    , tokenDigests(std::move(digests))
    , localChangeVoters(std::move(localVoterChange))
{
}

const std::vector<OperatorService::Endpoint> &OperatorService::endpoints()
{
    using Service = OperatorService;
    static const std::vector<Endpoint> table{
        {"GET", {"v1", "manifest"}, &Service::getManifest},
        {"PUT", {"v1", "manifest"}, &Service::putManifest},
        {"GET", {"v1", "status"}, &Service::getStatus},
        {"GET", {"v1", "budgets"}, &Service::getBudgets},
        {"GET", {"v1", "budgets", "*"}, &Service::getBudget},
        {"POST", {"v1", "budgets", "*", "top-up"}, &Service::topUp},
        {"POST", {"v1", "budgets", "*", "release"}, &Service::releaseQuarantine},
        {"POST", {"v1", "claims", "resolve"}, &Service::resolveClaim},
        {"GET", {"v1", "instances"}, &Service::getInstances},
        {"POST", {"v1", "instances", "*", "add"}, &Service::addInstance},
        {"POST", {"v1", "instances", "*", "remove"}, &Service::removeInstance},
        {"POST", {"v1", "instances", "*", "retire"}, &Service::retireInstance},
        {"POST", {"v1", "prompt-parts", "*", "clear"}, &Service::clearPromptPart},
        {"GET", {"v1", "evacuations"}, &Service::getEvacuations},
        {"POST", {"v1", "evacuations", "*", "start"}, &Service::startEvacuation},
        {"POST", {"v1", "evacuations", "*", "finish"}, &Service::finishEvacuation},
    };
    return table;
}

bool OperatorService::serve(const http::Request &request, http::ResponseWriter &writer)
{
    const std::vector<std::string> parts = pathParts(request.path);
    for (const Endpoint &endpoint : endpoints()) {
        if (endpoint.method != request.method || !matchesPattern(endpoint.parts, parts)) {
            continue;
        }
        if (!this->authorised(request)) {
            sendError(
                writer, core::ErrorCode::Unauthenticated, "the bearer token is not an operator's");
            return true;
        }
        (this->*endpoint.handler)(request, writer);
        return true;
    }
    return false;
}

bool OperatorService::authorised(const http::Request &request) const
{
    const std::string digest = core::sha256Of(http::bearerToken(request));
    return std::any_of(
        this->tokenDigests.begin(), this->tokenDigests.end(), [&](const std::string &accepted) {
            return core::equalDigests(accepted, digest);
        });
}

void OperatorService::getManifest(const http::Request & /*request*/, http::ResponseWriter &writer)
{
    const auto catalogue = this->node.manifest().catalogue();
    writer.send(200,
                {{"Content-Type", "application/yaml"},
                 {"Samphirebridge-Manifest-Version", std::to_string(catalogue->version())}},
                manifest::renderManifest(catalogue->manifest()));
}

void OperatorService::putManifest(const http::Request &request, http::ResponseWriter &writer)
{
    const auto expected = queryParameter(request, "expected_version");
    const auto changeId = queryParameter(request, "change_id");
    uint64_t expectedVersion = 0;
    if (!expected || !absl::SimpleAtoi(*expected, &expectedVersion) || !changeId
        || !core::checkName(*changeId).ok()) {
        sendError(
            writer,
            core::ErrorCode::InvalidRequest,
            "accepted are the query parameters expected_version, a number, and change_id, a name");
        return;
    }
    const auto parsed = manifest::parseManifest(request.body, "manifest");
    if (!parsed.ok()) {
        sendError(writer, parsed.status());
        return;
    }
    proto::Command command;
    *command.mutable_apply_manifest() = this->makeApplyCommand(*parsed, expectedVersion, *changeId);
    const auto result = this->submit(command);
    if (!result.ok()) {
        sendError(writer, result.status());
        return;
    }
    if (result->error_code() != 0) {
        sendError(writer,
                  static_cast<core::ErrorCode>(result->error_code()),
                  result->error_message(),
                  {{"current_version", result->current_version()}});
        return;
    }
    this->sendApplyResult(writer, result->apply_manifest());
}

proto::ApplyManifest OperatorService::makeApplyCommand(const proto::Manifest &wanted,
                                                       uint64_t expectedVersion,
                                                       const std::string &changeId)
{
    this->waitForVersion(expectedVersion);
    const auto catalogue = this->node.manifest().catalogue();
    proto::ApplyManifest apply;
    apply.set_expected_version(expectedVersion);
    apply.set_change_id(changeId);
    apply.set_content_digest(core::sha256Of(manifest::renderManifest(wanted)));
    // If the instance's version differs, the delta stays empty: the ledger answers with a version
    // conflict or, if it has applied this change id already, with the version that it created.
    if (catalogue->version() == expectedVersion) {
        *apply.mutable_delta() = manifest::diffManifests(catalogue->manifest(), wanted);
    }
    apply.mutable_delta()->set_from_version(expectedVersion);
    apply.mutable_delta()->set_to_version(expectedVersion + 1);
    return apply;
}

void OperatorService::waitForVersion(uint64_t version)
{
    const core::TimePoint deadline = this->clock.now() + InForceTimeout;
    while (this->node.manifest().catalogue()->version() < version && this->clock.now() < deadline) {
        this->queue.call([this, version] { this->node.manifest().onVersionSeen(version); });
        std::this_thread::sleep_for(InForcePollInterval);
    }
}

void OperatorService::sendApplyResult(http::ResponseWriter &writer,
                                      const proto::ApplyManifestResult &result)
{
    this->waitUntilInForce(result.version());
    nlohmann::json inForce = nlohmann::json::array();
    nlohmann::json notConfirmed = nlohmann::json::array();
    for (const membership::InstanceView &view : this->instanceViews()) {
        const bool confirmed = view.record.manifest_version() >= result.version();
        (confirmed ? inForce : notConfirmed).push_back(view.record.id());
    }
    sendJson(writer,
             {{"version", result.version()},
              {"resend", result.resend()},
              {"in_force_on", inForce},
              {"not_confirmed_by", notConfirmed}});
}

void OperatorService::getStatus(const http::Request & /*request*/, http::ResponseWriter &writer)
{
    const auto status = this->readStatus();
    if (!status.ok()) {
        sendError(writer, status.status());
        return;
    }
    const auto targets
        = this->queue.call([this] { return this->node.fleet().targets().records(); });
    sendJson(writer, statusJson(*status, this->instanceViews(), targets));
}

void OperatorService::getBudgets(const http::Request & /*request*/, http::ResponseWriter &writer)
{
    this->sendBudgets(writer, {});
}

void OperatorService::getBudget(const http::Request &request, http::ResponseWriter &writer)
{
    this->sendBudgets(writer, {pathParts(request.path)[2]});
}

void OperatorService::sendBudgets(http::ResponseWriter &writer, const std::vector<std::string> &ids)
{
    proto::ReadBudgetsRequest request;
    for (const std::string &id : ids) {
        request.add_budgets(id);
    }
    const auto reply = await<absl::StatusOr<proto::ReadBudgetsReply>>(
        this->queue, [this, request](auto onReply) {
            this->client.readBudgets(request, OperatorTimeout, std::move(onReply));
        });
    if (!reply.ok()) {
        sendError(writer, reply.status());
        return;
    }
    if (!ids.empty() && reply->budgets_size() == 0) {
        sendError(writer,
                  core::ErrorCode::UnknownBudget,
                  fmt::format("the manifest does not declare the budget \"{}\"", ids.front()));
        return;
    }
    nlohmann::json budgets = nlohmann::json::array();
    for (const proto::BudgetState &budget : reply->budgets()) {
        budgets.push_back(budgetJson(budget));
    }
    sendJson(writer, {{"budgets", budgets}});
}

void OperatorService::topUp(const http::Request &request, http::ResponseWriter &writer)
{
    const auto body = jsontext::parseObject(request.body);
    const auto tokens = body ? integerMember(*body, "tokens") : std::nullopt;
    const auto changeId = body ? textMember(*body, "change_id") : std::nullopt;
    if (!tokens || !changeId) {
        sendInvalidBody(writer, R"({"tokens": NUMBER, "change_id": NAME})");
        return;
    }
    proto::Command command;
    command.mutable_top_up()->set_budget(pathParts(request.path)[2]);
    command.mutable_top_up()->set_tokens(*tokens);
    command.mutable_top_up()->set_change_id(*changeId);
    this->sendBudgetResult(writer, this->submit(command));
}

void OperatorService::releaseQuarantine(const http::Request &request, http::ResponseWriter &writer)
{
    const auto body = jsontext::parseObject(request.body);
    const auto billed = body ? integerMember(*body, "billed_tokens") : std::nullopt;
    const auto returned = body ? integerMember(*body, "returned_tokens") : std::nullopt;
    const auto changeId = body ? textMember(*body, "change_id") : std::nullopt;
    if (!billed || !returned || !changeId) {
        sendInvalidBody(
            writer, R"({"billed_tokens": NUMBER, "returned_tokens": NUMBER, "change_id": NAME})");
        return;
    }
    proto::Command command;
    proto::ReleaseQuarantine *release = command.mutable_release_quarantine();
    release->set_budget(pathParts(request.path)[2]);
    release->set_billed_tokens(*billed);
    release->set_returned_tokens(*returned);
    release->set_change_id(*changeId);
    this->sendBudgetResult(writer, this->submit(command));
}

void OperatorService::resolveClaim(const http::Request &request, http::ResponseWriter &writer)
{
    const auto body = jsontext::parseObject(request.body);
    const auto organisation = body ? textMember(*body, "organisation") : std::nullopt;
    const auto key = body ? textMember(*body, "key") : std::nullopt;
    const auto changeId = body ? textMember(*body, "change_id") : std::nullopt;
    const bool ranIsBoolean = body && body->contains("ran") && body->at("ran").is_boolean();
    if (!organisation || !key || !changeId || !ranIsBoolean) {
        sendInvalidBody(
            writer, R"({"organisation": NAME, "key": TEXT, "ran": BOOLEAN, "change_id": NAME})");
        return;
    }
    proto::Command command;
    proto::ResolveClaim *resolve = command.mutable_resolve_claim();
    resolve->mutable_key()->set_organisation(*organisation);
    resolve->mutable_key()->set_key(*key);
    resolve->set_ran(body->at("ran").get<bool>());
    resolve->set_change_id(*changeId);
    this->sendBudgetResult(writer, this->submit(command));
}

void OperatorService::sendBudgetResult(http::ResponseWriter &writer,
                                       const absl::StatusOr<proto::CommandResult> &result)
{
    if (!result.ok()) {
        sendError(writer, result.status());
        return;
    }
    if (result->error_code() != 0) {
        sendError(
            writer, static_cast<core::ErrorCode>(result->error_code()), result->error_message());
        return;
    }
    sendJson(writer, budgetJson(result->budget()));
}

void OperatorService::getInstances(const http::Request & /*request*/, http::ResponseWriter &writer)
{
    sendJson(writer, {{"instances", instancesJson(this->instanceViews())}});
}

void OperatorService::addInstance(const http::Request &request, http::ResponseWriter &writer)
{
    constexpr uint64_t FirstGeneration = 0;
    const std::string member = storage::memberName(pathParts(request.path)[2], FirstGeneration);
    this->changeVoters(writer, proto::ChangeVotersRequest::ADD_LEARNER, member);
}

void OperatorService::removeInstance(const http::Request &request, http::ResponseWriter &writer)
{
    const std::string instance = pathParts(request.path)[2];
    const auto status = this->readStatus();
    if (!status.ok()) {
        sendError(writer, status.status());
        return;
    }
    std::vector<std::string> members(status->configuration().voters().begin(),
                                     status->configuration().voters().end());
    members.insert(members.end(),
                   status->configuration().learners().begin(),
                   status->configuration().learners().end());
    for (const std::string &member : members) {
        if (storage::instanceOf(member) == instance) {
            this->changeVoters(writer, proto::ChangeVotersRequest::REMOVE, member);
            return;
        }
    }
    sendError(writer,
              core::ErrorCode::UnknownMember,
              fmt::format("\"{}\" is neither a voter nor a learner", instance));
}

void OperatorService::retireInstance(const http::Request &request, http::ResponseWriter &writer)
{
    const auto body = jsontext::parseObject(request.body);
    const auto incarnation = body ? integerMember(*body, "incarnation") : std::nullopt;
    const auto changeId = body ? textMember(*body, "change_id") : std::nullopt;
    if (!incarnation || !changeId) {
        sendInvalidBody(writer, R"({"incarnation": NUMBER, "change_id": NAME})");
        return;
    }
    proto::Command command;
    proto::RetireHolder *retire = command.mutable_retire_holder();
    retire->mutable_holder()->set_instance(pathParts(request.path)[2]);
    retire->mutable_holder()->set_incarnation(static_cast<uint64_t>(*incarnation));
    retire->set_change_id(*changeId);
    const auto result = this->submit(command);
    if (!result.ok()) {
        sendError(writer, result.status());
        return;
    }
    if (result->error_code() != 0) {
        sendError(
            writer, static_cast<core::ErrorCode>(result->error_code()), result->error_message());
        return;
    }
    sendJson(writer, {{"retired", true}});
}

absl::StatusOr<proto::CommandResult> OperatorService::submit(const proto::Command &command)
{
    return await<absl::StatusOr<proto::CommandResult>>(this->queue, [this, command](auto onResult) {
        this->client.submit(command, OperatorTimeout, std::move(onResult));
    });
}

absl::StatusOr<proto::ReadStatusReply> OperatorService::readStatus()
{
    return await<absl::StatusOr<proto::ReadStatusReply>>(this->queue, [this](auto onReply) {
        this->client.readStatus(OperatorTimeout, std::move(onReply));
    });
}

void OperatorService::changeVoters(http::ResponseWriter &writer,
                                   proto::ChangeVotersRequest::Change change,
                                   const std::string &member)
{
    proto::ChangeVotersRequest request;
    request.set_change(change);
    request.set_member(member);
    request.set_resize(true);
    const auto status = this->readStatus();
    if (!status.ok()) {
        sendError(writer, status.status());
        return;
    }
    const auto reply = this->changeVotersAt(core::InstanceId(status->leader_instance()), request);
    if (!reply.ok()) {
        sendError(writer, reply.status());
        return;
    }
    if (reply->error_code() != 0) {
        sendError(
            writer, static_cast<core::ErrorCode>(reply->error_code()), reply->error_message());
        return;
    }
    sendJson(writer, {{"member", member}, {"accepted", true}});
}

absl::StatusOr<proto::ChangeVotersReply>
OperatorService::changeVotersAt(const core::InstanceId &leader,
                                const proto::ChangeVotersRequest &request)
{
    using Reply = absl::StatusOr<proto::ChangeVotersReply>;
    if (transport::PeerChannel *channel = this->peers.channelTo(leader)) {
        return await<Reply>(this->queue, [channel, request](auto onReply) {
            channel->changeVoters(request, OperatorTimeout, std::move(onReply));
        });
    }
    if (!this->localChangeVoters) {
        return core::makeError(core::ErrorCode::NotLeader, "no leader is known");
    }
    return await<Reply>(this->queue, [this, request](auto onReply) {
        this->localChangeVoters(request, std::move(onReply));
    });
}

void OperatorService::waitUntilInForce(uint64_t version)
{
    const core::TimePoint deadline = this->clock.now() + InForceTimeout;
    while (true) {
        const auto behind = this->queue.call([this, version] {
            this->node.manifest().onVersionSeen(version);
            return this->node.fleet().instances().withOlderManifest(version, this->clock.now());
        });
        if (behind.empty() || this->clock.now() >= deadline) {
            return;
        }
        std::this_thread::sleep_for(InForcePollInterval);
    }
}

void OperatorService::clearPromptPart(const http::Request &request, http::ResponseWriter &writer)
{
    const std::string name = pathParts(request.path)[2];
    const bool known = this->queue.call([&] {
        const core::TimePoint now = this->clock.now();
        const bool cleared
            = this->node.fleet().router().clearPart(absl::HexStringToBytes(name), now);
        this->node.fleet().sendCrashReports(now);
        return cleared;
    });
    if (!known) {
        sendError(writer,
                  core::ErrorCode::NotFound,
                  fmt::format("nothing counts against a prompt part with the fingerprint '{}' "
                              "here; accepted is one of the line part_refused",
                              name));
        return;
    }
    sendJson(writer, {{"cleared", true}});
}

void OperatorService::startEvacuation(const http::Request &request, http::ResponseWriter &writer)
{
    this->changeEvacuation(request, writer, true);
}

void OperatorService::finishEvacuation(const http::Request &request, http::ResponseWriter &writer)
{
    this->changeEvacuation(request, writer, false);
}

void OperatorService::changeEvacuation(const http::Request &request,
                                       http::ResponseWriter &writer,
                                       bool evacuated)
{
    using Result = absl::StatusOr<proto::ChangeEvacuationResult>;
    const std::string dataCentre = pathParts(request.path)[2];
    const auto result = await<Result>(this->queue, [&](auto onResult) {
        this->control.changeEvacuation(dataCentre, evacuated, std::move(onResult));
    });
    if (!result.ok()) {
        sendError(writer, result.status());
        return;
    }
    sendJson(writer,
             {{"data_centre", dataCentre},
              {"evacuated", evacuated},
              {"revision", result->revision()},
              {"replaced", result->replaced()}});
}

void OperatorService::getEvacuations(const http::Request & /*request*/,
                                     http::ResponseWriter &writer)
{
    using Result = absl::StatusOr<std::vector<proto::Evacuation>>;
    const auto evacuations = await<Result>(
        this->queue, [this](auto onRead) { this->control.readEvacuations(std::move(onRead)); });
    if (!evacuations.ok()) {
        sendError(writer, evacuations.status());
        return;
    }
    sendJson(writer, {{"evacuations", evacuationsJson(*evacuations, this->instanceViews())}});
}

std::vector<membership::InstanceView> OperatorService::instanceViews()
{
    return this->queue.call(
        [this] { return this->node.fleet().instances().view(this->clock.now()); });
}

} // namespace samphirebridge::gateway
