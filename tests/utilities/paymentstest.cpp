#include "utilities/standins/payments.h"
#include "tests/utilities/machinehost.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace samphirebridge;
using namespace samphirebridge::standins;

namespace
{

requests::RequestSpecification paymentRequest(proto::RepeatRule rule, const std::string &body)
{
    requests::RequestSpecification specification;
    specification.requestKey = "order-1";
    specification.attemptPrefix = "entry";
    specification.repeat = rule;
    specification.path = "/v1/payments";
    specification.body = body;
    specification.price = core::Tokens{9};
    specification.reservation = core::Tokens{9};
    specification.deadline = core::SteadyClock().now() + std::chrono::seconds(60);
    return specification;
}

int64_t runsOf(const ServedTarget<Payments> &payments)
{
    return payments.target.stats()["runs"];
}

} // namespace

TEST_CASE("a payment whose answer is broken runs once and its outcome is reported as unknown")
{
    const std::string fault
        = GENERATE(as<std::string>{}, "[break]", "[wrong-length]", "[wrong-attempt]");
    const ServedTarget<Payments> payments(PaymentsSettings{});
    const RequestResult result = runRequest(paymentRequest(proto::NEVER, fault), {payments.url()});
    CHECK(runsOf(payments) == 1);
    REQUIRE(result.refuse);
    CHECK(result.refuse->outcome == core::Outcome::Unknown);
    CHECK(result.settle->outcome == core::Outcome::Unknown);
}

TEST_CASE("a payment is retried after refused connections and runs once")
{
    const ServedTarget<Payments> payments(PaymentsSettings{});
    const std::string unreachable = "http://127.0.0.1:1";
    const RequestResult result = runRequest(paymentRequest(proto::NEVER, "{}"),
                                            {unreachable, unreachable, payments.url()});
    CHECK(result.status == 201);
    CHECK(runsOf(payments) == 1);
    CHECK(result.settle->used == core::Tokens{9});
}

TEST_CASE(
    "a payment with a broken answer is retried at a service that deduplicates, which runs it once")
{
    PaymentsSettings settings;
    settings.deduplicates = true;
    const ServedTarget<Payments> payments(settings);
    requests::RequestSpecification specification
        = paymentRequest(proto::TARGET_DEDUPLICATES, "[break@payments-1]");
    specification.maximumAttempts = 3;
    const RequestResult result = runRequest(specification, {payments.url()});
    CHECK(result.retries.size() == 2);
    CHECK(runsOf(payments) == 1);
}

TEST_CASE("the run log holds each run after the service has ended")
{
    const auto path = std::filesystem::temp_directory_path()
                      / ("samphirebridge-runs-" + std::to_string(::getpid()));
    {
        PaymentsSettings settings;
        settings.runLog = path.string();
        const ServedTarget<Payments> payments(settings);
        runRequest(paymentRequest(proto::NEVER, "{}"), {payments.url()});
    }
    std::ifstream file(path);
    std::string line;
    REQUIRE(std::getline(file, line));
    CHECK(nlohmann::json::parse(line)["key"] == "order-1");
    CHECK_FALSE(std::getline(file, line));
    std::filesystem::remove(path);
}
