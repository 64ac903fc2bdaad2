#include "utilities/soak/operators.h"

#include "samphirebridge/core/digest.h"
#include "tests/support/fleet.h"

#include <fmt/format.h>

#include <thread>

namespace samphirebridge::soak
{

namespace
{

// Budgets in tokens: small, so that they run out within a round, and each change raises them.
constexpr int64_t InitialChatTokens = 6'000;
constexpr int64_t ChatTokensPerVersion = 500;
constexpr int64_t InitialPaymentTokens = 3'000;
constexpr int64_t PaymentTokensPerVersion = 200;
constexpr int64_t EnoughTokens = 1'000'000;
constexpr std::chrono::milliseconds ChangeInterval{300};
constexpr std::chrono::milliseconds ReadInterval{50};
constexpr std::chrono::seconds ChangeTimeout{5};
// Short, so that an instance that was frozen has recent reads pending when it continues.
constexpr std::chrono::milliseconds ReadTimeout{300};
constexpr int StatusOk = 200;

std::string digestOf(std::string_view secret)
{
    return core::toHex(core::sha256Of(secret));
}

} // namespace

std::string manifestOf(const Purchase &purchase)
{
    return fmt::format(R"(organisations:
  - {{id: letters, services: [chat], models: [letters]}}
  - {{id: fees, services: [payments]}}
budgets:
  - {{id: letters, organisation: letters, tokens: {}}}
  - {{id: fees, organisation: fees, tokens: {}}}
caller_keys:
  - {{id: letters, organisation: letters, budget: letters, sha256: {}}}
  - {{id: fees, organisation: fees, budget: fees, sha256: {}}}
services:
  - {{id: chat, kind: chat, max_output_tokens: 512, stall_timeout_ms: 1000, deadline_ms: 15000}}
  - id: payments
    kind: plain
    price_tokens: {}
    stall_timeout_ms: 4000
    deadline_ms: 8000
    routes:
      - {{method: POST, path_prefix: /v1/payments, repeat: never}}
models:
  - {{id: letters, service: chat}}
target_kinds:
  - {{id: engine, service: chat, announce_sha256: {}, checks_fencing: true}}
  - {{id: payments, service: payments, announce_sha256: {}, checks_fencing: false}}
)",
                       purchase.chatTokens,
                       purchase.paymentTokens,
                       digestOf(testing::CallerKeyA),
                       digestOf(testing::CallerKeyB),
                       PaymentPrice,
                       digestOf(testing::EngineToken),
                       digestOf(testing::PaymentsToken));
}

Operators::Operators(testing::Fleet &fleet, const Shape &shape, Witness &witness)
    : fleet(fleet)
    , shape(shape)
    , witness(witness)
{
}

void Operators::applyFirstManifest()
{
    this->sent = 1;
    this->fleet.applyManifest(0, manifestOf(this->purchaseAt(1)), 0);
    this->confirmed = 1;
}

void Operators::run(const std::atomic<bool> &stopping)
{
    for (int round = 0; !stopping; ++round) {
        std::this_thread::sleep_for(ChangeInterval);
        const int first = round % this->shape.instances;
        const int second = (round + 1) % this->shape.instances;
        const std::optional<int64_t> current = this->currentVersion(first);
        if (!current) {
            continue;
        }
        std::thread other(
            [&] { this->changeManifest(second, *current + 1, fmt::format("second-{}", round)); });
        this->changeManifest(first, *current + 1, fmt::format("first-{}", round));
        other.join();
    }
}

void Operators::checkVersions(int instance, const std::atomic<bool> &stopping)
{
    while (!stopping) {
        const int64_t known = this->confirmed;
        const std::optional<int64_t> current = this->currentVersion(instance);
        if (current && *current < known) {
            this->witness.addViolation(
                fmt::format("version {} was read at instance {} after version {} was confirmed",
                            *current,
                            instance,
                            known));
        }
        std::this_thread::sleep_for(ReadInterval);
    }
}

int64_t Operators::highestSent() const
{
    return this->sent;
}

int64_t Operators::highestConfirmed() const
{
    return this->confirmed;
}

std::optional<int64_t> Operators::currentVersion(int instance)
{
    http::ClientRequest request;
    request.url = this->fleet.httpUrl(instance) + "/v1/status";
    request.headers.set("Authorization", std::string("Bearer ") + testing::OperatorToken);
    const auto answer = this->client.fetch(request, ReadTimeout);
    if (!answer.ok() || answer->status != StatusOk) {
        return std::nullopt;
    }
    return nlohmann::json::parse(answer->body).at("manifest_version").get<int64_t>();
}

void Operators::raisePurchases()
{
    this->extraTokens = EnoughTokens;
}

Purchase Operators::purchaseAt(int64_t version) const
{
    return {InitialChatTokens + ChatTokensPerVersion * version + this->extraTokens,
            InitialPaymentTokens + PaymentTokensPerVersion * version + this->extraTokens};
}

bool Operators::changeManifest(int instance, int64_t version, const std::string &changeId)
{
    int64_t highest = this->sent;
    while (highest < version && !this->sent.compare_exchange_weak(highest, version)) { }
    const std::string path
        = fmt::format("/v1/manifest?expected_version={}&change_id={}", version - 1, changeId);
    http::ClientRequest request;
    request.method = "PUT";
    request.url = this->fleet.httpUrl(instance) + path;
    request.headers.set("Authorization", std::string("Bearer ") + testing::OperatorToken);
    request.body = manifestOf(this->purchaseAt(version));
    const auto answer = this->client.fetch(request, ChangeTimeout);
    if (!answer.ok() || answer->status != StatusOk) {
        return false;
    }
    const auto result = nlohmann::json::parse(answer->body, nullptr, false);
    const int64_t confirmedVersion = result.is_object() ? result.value("version", int64_t{0}) : 0;
    if (confirmedVersion != version) {
        this->witness.addViolation(fmt::format(
            "the change to version {} was confirmed as version {}", version, confirmedVersion));
    }
    int64_t known = this->confirmed;
    while (known < version && !this->confirmed.compare_exchange_weak(known, version)) { }
    return true;
}

} // namespace samphirebridge::soak
