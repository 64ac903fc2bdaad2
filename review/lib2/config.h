// Configurations as the operator sends them, in the shape of PROTOCOL.md.
#pragma once

#include "harness.h"

namespace review
{

struct RouteSpec {
    std::string name;
    std::string prefix;
    std::string kind; // streaming, idempotent or non_idempotent.
    std::string service;
    int timeoutMs = 4000;
    int targetLatencyMs = 300;
    int maxAttempts = 2;
    bool sticky = false;
    bool resume = false;
    int targetGapMs = 400;
    int priority = 1;
};

struct TenantSpec {
    std::string name;
    std::string key;
    long long prepaid = -1; // None if negative.
};

struct ConfigSpec {
    unsigned long long version = 1;
    std::string host = "ficu95.example";
    std::vector<RouteSpec> routes;
    std::vector<std::string> plainServices;
    std::vector<std::string> engineServices;
    std::vector<TenantSpec> tenants;
    int maxBodyBytes = 4194304;
    int idleTimeoutMs = 15000;
    int stride = 5;
};

inline std::string document(const ConfigSpec &spec)
{
    std::string out = text("{\"Version\":%llu,\"Routes\":[", spec.version);
    bool first = true;
    for (const RouteSpec &route : spec.routes) {
        out += first ? "" : ",";
        first = false;
        out += text(
            "{\"Name\":\"%s\",\"Host\":\"%s\",\"PathPrefix\":\"%s\",\"Kind\":\"%s\",\"TimeoutMs\":%"
            "d,"
            "\"TargetLatencyMs\":%d,\"Priority\":%d,\"Service\":\"%s\",\"MaxAttempts\":%d,"
            "\"AllowAnonymous\":false,\"Sticky\":%s,\"StreamResume\":%s,\"TargetGapMs\":%d}",
            route.name.c_str(),
            spec.host.c_str(),
            route.prefix.c_str(),
            route.kind.c_str(),
            route.timeoutMs,
            route.targetLatencyMs,
            route.priority,
            route.service.c_str(),
            route.maxAttempts,
            route.sticky ? "true" : "false",
            route.resume ? "true" : "false",
            route.targetGapMs);
    }
    out += "],\"Services\":[";
    first = true;
    for (const std::string &service : spec.engineServices) {
        out += first ? "" : ",";
        first = false;
        out += text("{\"Name\":\"%s\",\"HealthPath\":\"/"
                    "health\",\"MaxConnections\":610,\"Protocol\":\"h1\",\"Tls\":false,"
                    "\"Engine\":{\"Slots\":128,\"KvCacheTokens\":784767,\"KvTokenBytes\":18432,"
                    "\"LinkMbps\":370000.0,"
                    "\"Moves\":true,\"Backups\":true,\"Stride\":%d,\"most\":12,\"PinMs\":4000.0,"
                    "\"HoldMs\":2000.0,"
                    "\"HandleS\":5.0,\"Models\":[{\"Name\":\"m\"}]}}",
                    service.c_str(),
                    spec.stride);
    }
    for (const std::string &service : spec.plainServices) {
        out += first ? "" : ",";
        first = false;
        out += text("{\"Name\":\"%s\",\"HealthPath\":\"/"
                    "health\",\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false}",
                    service.c_str());
    }
    out += text(
        "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":%d,\"HeaderTimeoutMs\":3000,"
        "\"IdleTimeoutMs\":%d},\"Tenants\":[",
        spec.maxBodyBytes,
        spec.idleTimeoutMs);
    first = true;
    for (const TenantSpec &tenant : spec.tenants) {
        out += first ? "" : ",";
        first = false;
        out += text("{\"Name\":\"%s\",\"ApiKeys\":[\"%s\"],\"Priority\":1",
                    tenant.name.c_str(),
                    tenant.key.c_str());
        if (tenant.prepaid >= 0) {
            out += text(",\"Prepaid\":%lld", tenant.prepaid);
        }
        out += "}";
    }
    out += "]}";
    return out;
}

} // namespace review
