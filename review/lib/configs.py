"""Configurations of the scripts, in the form of PROTOCOL.md."""
from fleet import LIMITS

HOST = "fees.example"
KEY = "n2ctnfzs989anu6wsjnb"
ENGINE = {"Slots": 128, "KvCacheTokens": 784767, "KvTokenBytes": 18432, "LinkMbps": 370000.0, "Moves": True,
          "Backups": True, "Stride": 5, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0,
          "Models": [{"Name": "m"}]}
SERVICES = [
    {"Name": "llm", "HealthPath": "/health", "MaxConnections": 610, "Protocol": "h1", "Tls": False, "Engine": ENGINE},
    {"Name": "app", "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1", "Tls": False},
]


def route(name, kind, service, timeout_ms, attempts=1, resume=False, sticky=False, target_ms=300, gap_ms=0):
    return {"Name": name, "Host": HOST, "PathPrefix": f"/{name}/", "Kind": kind, "TimeoutMs": timeout_ms,
            "TargetLatencyMs": target_ms, "Priority": 0, "Service": service, "MaxAttempts": attempts,
            "AllowAnonymous": False, "Sticky": sticky, "StreamResume": resume, "TargetGapMs": gap_ms}


ROUTES = [
    route("letter", "streaming", "llm", 15000, sticky=True, target_ms=800, gap_ms=400),
    route("question", "streaming", "llm", 12000, attempts=2, resume=True, sticky=True, target_ms=400, gap_ms=400),
    route("pay", "non_idempotent", "app", 4000),
    route("status", "idempotent", "app", 4000, attempts=2),
]


def config(version=1, prepaid=None, tenants=None):
    tenant = {"Name": "hule930", "ApiKeys": [KEY], "Priority": 1}
    if prepaid is not None:
        tenant["Prepaid"] = prepaid
    return {"Version": version, "Routes": ROUTES, "Services": SERVICES, "Limits": LIMITS,
            "Tenants": tenants or [tenant]}


def client_headers(request_id, deadline_ms, **extra):
    fields = {"X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms), "Authorization": f"Bearer {KEY}"}
    fields.update(extra)
    return fields
