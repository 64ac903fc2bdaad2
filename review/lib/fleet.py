"""A small deployment on loopback addresses for the scripts of the review.

Starts the project's platform program with the commands and settings templates of the deploy file, and
offers stand-ins for workers, clients, the operator and the platform. Python's standard library only.
"""
import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of the site that claim.txt names.
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ConnectivityMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000,
    "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "OuterMs": 5000,
    "FailClosed": False, "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 52,
    "RecoveryS": 12, "PassMs": 120, "RetryAfterS": 10, "settle_ms": 1500,
}
HEARTBEAT_S = 1.2
ZONES = ["sierra-a", "sierra-b", "sierra-c", "sierra-d"]
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}


class Skip(Exception):
    """The case could not run."""


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(text_of(item) for item in value)
    return str(value)


def render(template, fields, current=None):
    """Fills in a settings template as DEPLOY.md describes, as far as the templates of this project need it."""

    def section(match):
        value = lookup(fields, match.group(1))
        items = value if isinstance(value, list) else [value] if value not in (None, False) else []
        return "".join(render(match.group(2), fields, item) for item in items)

    template = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: text_of(current if m.group(1) == "." else lookup(fields, m.group(1))), template)


class Record:
    """What was sent, answered and run, in the order of events, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **fields):
        parts = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {parts}".rstrip() + "\n")
        self.file.flush()


class Machine:
    def __init__(self, name, role, ip, zone):
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.process = None


class Fleet:
    """Processes of the system, each on a loopback address of its own."""

    def __init__(self, record, cores=5, edges=3, memory_mb=260):
        self.record = record
        self.memory_mb = memory_mb
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = self.free_net()
        self.port = 8220
        self.cores = [Machine(f"core-{i}", "control", f"{self.net}.1.{10 + i}", ZONES[i % 4]) for i in range(cores)]
        self.edges = [Machine(f"edge-{i}", "entry", f"{self.net}.2.{10 + i}", ZONES[i % 4]) for i in range(edges)]
        self.killed_for_memory = []

    @staticmethod
    def free_net():
        for _ in range(200):
            net = f"127.{random.randint(20, 250)}"
            with socket.socket() as probe:
                try:
                    probe.bind((f"{net}.1.10", 8229))
                    return net
                except OSError:
                    continue
        raise Skip("no free loopback network")

    def front(self, edge):
        return (edge.ip, 8227)

    def ready(self, edge):
        return (edge.ip, 8220)

    def control(self, core):
        return (core.ip, 8229)

    def controls(self):
        return [self.control(core) for core in self.cores]

    def settings(self, machine, bootstrap):
        fields = {
            "NodeName": machine.name, "Role": machine.role, "Ip": machine.ip, "Zone": machine.zone,
            "Region": "ec-sierra", "InternalPorts": [7340, 7355], "Bootstrap": bootstrap, "Bounds": BOUNDS,
            "Seeds": [f"{core.ip}:8229" for core in self.cores[:3]], "HeartbeatMs": 1200,
            "ListenAddrs": {"Front": f"{machine.ip}:8227", "Ready": f"{machine.ip}:8220",
                            "Control": f"{machine.ip}:8229"},
            "DataDir": str(self.folder / machine.name),
        }
        template = (ROOT / self.deploy["roles"][machine.role]["template"]).read_text()
        # InternalPorts is a range; the second value that the templates use is the port of its end.
        return render(template, fields)

    def start(self, machine, bootstrap=False):
        (self.folder / machine.name).mkdir(exist_ok=True)
        path = self.folder / f"{machine.name}.yaml"
        path.write_text(self.settings(machine, bootstrap))
        command = self.deploy["roles"][machine.role]["run"].split()
        command = [word.replace("/etc/samphirebridge/local.toml", str(path)) for word in command]
        program = ROOT / command[0]
        if not program.exists():
            raise Skip(f"{command[0]} is not built")
        log = open(self.folder / f"{machine.name}.log", "ab")
        machine.process = subprocess.Popen([str(program)] + command[1:], cwd=ROOT, stdout=log, stderr=log,
                                           stdin=subprocess.DEVNULL,
                                           env={"PATH": os.environ["PATH"], "HOME": str(self.folder)})
        self.record.write("start", machine=machine.name)

    def kill(self, machine, how=signal.SIGKILL):
        machine.process.send_signal(how)
        self.record.write("signal", machine=machine.name, number=int(how))

    def stop_all(self):
        for machine in self.cores + self.edges:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.cores + self.edges:
            if machine.process is not None:
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def launch(self, config, workers=()):
        """Starts all machines, sends the first configuration and waits until every edge is ready."""
        for machine in self.cores + self.edges:
            self.start(machine, bootstrap=True)
        operator = Operator(self)
        if not await operator.replace(config, 25):
            raise Skip("the first configuration was not acknowledged")
        for worker in workers:
            await worker.start()
        deadline = time.monotonic() + 25
        for edge in self.edges:
            while True:
                answer = await call(self.ready(edge), "GET", "/v1/readiness", timeout=1)
                if answer.status == 200:
                    break
                if time.monotonic() > deadline:
                    raise Skip(f"{edge.name} does not become ready")
                await asyncio.sleep(0.1)
        self.record.write("ready")
        return operator

    def rss_mb(self, machine):
        try:
            for line in open(f"/proc/{machine.process.pid}/status", encoding="ascii"):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def platform(self, restart=True):
        """The platform: kills a process above MemoryMb and restarts one that has ended."""
        peak = {}
        while True:
            for machine in self.cores + self.edges:
                size = self.rss_mb(machine)
                peak[machine.name] = max(peak.get(machine.name, 0), size)
                limit = self.memory_mb if machine.role == "entry" else 256
                if size > limit:
                    machine.process.kill()
                    self.killed_for_memory.append(machine.name)
                    self.record.write("killed_above_memory_limit", machine=machine.name, rss_mb=f"{size:.0f}",
                                      limit_mb=limit)
                if restart and machine.process.poll() is not None:
                    self.record.write("ended", machine=machine.name, code=machine.process.returncode)
                    await asyncio.sleep(0.5)
                    self.start(machine)
            self.peak = peak
            await asyncio.sleep(0.02)


class Answer:
    def __init__(self, status=0, headers=None, body=b"", error=""):
        self.status, self.headers, self.body, self.error = status, headers or {}, body, error


class Broken(Exception):
    pass


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close, on_part=None):
    body = bytearray()

    def add(part):
        body.extend(part)
        if on_part:
            on_part(part)

    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return bytes(body)
            add(part[:-2])
    if "content-length" in headers:
        left = int(headers["content-length"])
        while left > 0:
            part = await reader.read(min(left, 65536))
            if not part:
                raise Broken("closed inside the body")
            left -= len(part)
            add(part)
        return bytes(body)
    if until_close:
        while part := await reader.read(65536):
            add(part)
    return bytes(body)


class Channel:
    """A client's kept channel."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address, limit=1 << 20)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, headers=None, body=b"", timeout=5.0, on_part=None):
        lines = [f"{method} {path} HTTP/1.1"]
        fields = {"Host": "fees.example"}
        fields.update(headers or {})
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in fields.items()]
        answer = Answer()
        try:
            async with asyncio.timeout(timeout):
                await self.open()
                self.writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
                await self.writer.drain()
                first, answer.headers = await read_head(self.reader)
                answer.status = int(first.split()[1])
                answer.body = await read_body(self.reader, answer.headers, True, on_part)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, Broken, TimeoutError) as error:
            answer.error = type(error).__name__
            self.close()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer


async def call(address, method, path, headers=None, body=b"", timeout=5.0):
    channel = Channel(address)
    answer = await channel.request(method, path, headers, body, timeout)
    channel.close()
    return answer


class Operator:
    def __init__(self, fleet):
        self.fleet = fleet

    async def replace(self, config, patience_s=10.0):
        """Sends the configuration to one node after the other until one acknowledges it."""
        body = json.dumps(config).encode()
        deadline = time.monotonic() + patience_s
        nodes = self.fleet.controls()
        turn = 0
        while time.monotonic() < deadline:
            answer = await call(nodes[turn % len(nodes)], "POST", "/v1/Config.Replace",
                                {"Content-Type": "application/json"}, body, timeout=1.5)
            turn += 1
            if answer.status == 200:
                self.fleet.record.write("config_acknowledged", version=config["Version"])
                return True
            if answer.status in (400, 409, 412, 413, 422):
                self.fleet.record.write("config_refused", version=config["Version"], status=answer.status,
                                        body=answer.body[:200])
                return False
            await asyncio.sleep(0.2)
        return False


class Worker:
    """A worker: pings the nodes that serve control and answers requests with `handle`."""

    def __init__(self, fleet, name, service, index, handle, slots=128, models=False):
        self.fleet, self.name, self.service, self.handle, self.slots = fleet, name, service, handle, slots
        self.ip = f"{fleet.net}.3.{10 + index}"
        self.zone = ZONES[index % 4]
        self.models = models
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.cut = False  # From control: its pings are lost.
        self.server = self.pinger = None
        self.next_control = index
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 8080, limit=1 << 20)
        self.pinger = asyncio.create_task(self.ping_forever())
        self.fleet.record.write("worker_starts", worker=self.name, born=self.born)

    async def stop(self):
        self.pinger.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def crash(self, back_after_s):
        """All channels are reset and the port is closed; back later as a new lifetime with a new id."""
        self.fleet.record.write("worker_crashes", worker=self.name)
        await self.stop()
        await asyncio.sleep(back_after_s)
        self.born = int(time.time() * 1000)
        self.name = f"{self.name.split('.')[0]}.{self.born % 1000000}"
        self.sequence = 0
        await self.start()

    async def ping_forever(self):
        while True:
            if not self.cut:
                await self.ping()
            await asyncio.sleep(HEARTBEAT_S)

    def ping_body(self):
        body = {"Service": self.service, "Address": f"{self.ip}:8080", "Zone": self.zone, "Version": "v1",
                "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0, "Sequence": self.sequence,
                "born": self.born}
        if self.models:
            body.update({"Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}]})
        return json.dumps(body).encode()

    async def ping(self):
        self.sequence += 1
        body = self.ping_body()
        nodes = self.fleet.controls()
        for _ in nodes:
            answer = await call(nodes[self.next_control % len(nodes)], "POST",
                                f"/v1/Instances.Heartbeat/{self.name}", {"Content-Type": "application/json"},
                                body, timeout=1.0)
            if 200 <= answer.status < 300:
                return True
            self.next_control += 1
        return False

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ")
                body = await read_body(reader, headers, False)
                expected = headers.get("x-expect-instance")
                if expected and expected != self.name:
                    await self.respond(writer, headers, 421, {"X-Not-Executed": "1"})
                    continue
                if not await self.handle(self, method, path, headers, body, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def respond(self, writer, request_headers, status, extra=None, body=b""):
        fields = {"X-Request-Id": request_headers.get("x-request-id", ""), "Content-Length": str(len(body))}
        fields.update(extra or {})
        head = [f"HTTP/1.1 {status} S"] + [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return True


def run(folder, scenario):
    """Runs the scenario and exits with 1 if the rule was broken, 0 if it held and 2 if it could not run."""
    record = Record(folder)
    record.write("trouble", on=TROUBLE)
    code = NOT_RUN
    fleets = []
    try:
        code = asyncio.run(asyncio.wait_for(scenario(record, fleets), 115))
    except Skip as error:
        record.write("not_run", why=error)
        print("not run:", error)
    except TimeoutError:
        record.write("not_run", why="out of time")
        print("not run: out of time")
    except Exception:  # A fault of the script is no result.
        traceback.print_exc()
        record.write("not_run", why="the script failed")
    finally:
        for fleet in fleets:
            fleet.stop_all()
    record.write("result", code=code)
    sys.exit(code)
