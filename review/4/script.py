"""A part of prompts crashes each worker right after it has written the first event of an answer on it."""
import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from configs import client_headers, config
from fleet import BOUNDS, BROKEN, Channel, Fleet, HELD, TROUBLE, Worker, call, run

POISON = "bad0c0de"
SYSTEM = "5c1e07a2"
EVENTS = 12
WORKERS = 8
POISONED = 16
GAP_S = 3.5
BACK_AFTER_S = 3.0


async def scenario(record, fleets):
    fleet = Fleet(record, cores=5, edges=3)
    fleets.append(fleet)
    crashes = []  # Times.
    arrivals = []  # Of requests with the part: (time, request, worker).
    cut_streams = set()
    running = {}

    async def handle(worker, method, path, headers, body, writer):
        name = headers["x-request-id"]
        shared = headers["x-prompt-prefix"].split(",")[:-1]
        poisoned = any(part.startswith(POISON + ":") for part in shared)
        record.write("runs", worker=worker.name, request=name, poisoned=poisoned)
        if poisoned:
            arrivals.append((record.now(), name, worker.name))
        running.setdefault(worker, set()).add(name)
        await asyncio.sleep(0.1)
        first = int(headers.get("last-event-id", "0")) + 1
        head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                f"X-Request-Id: {name}\r\nX-Response-Stamp: s.{name}\r\nX-Weight-Versions: 1\r\n\r\n")
        writer.write(head.encode())
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {name}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if poisoned and TROUBLE:
                await asyncio.sleep(0.02)
                crashes.append(record.now())
                cut_streams.update(running.pop(worker, set()) - {name})
                asyncio.create_task(worker.crash(BACK_AFTER_S))
                return False
            await asyncio.sleep(0.1)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        running.get(worker, set()).discard(name)
        return True

    workers = [Worker(fleet, f"w{i}", "llm", i, handle, models=True) for i in range(WORKERS)]
    await fleet.launch(config(), workers)
    await asyncio.sleep(4)
    stop = asyncio.Event()
    tally = {"sound": 0, "served": 0, "failed": 0}

    def prompt(name, poisoned):
        parts = [f"{SYSTEM}:119"] + ([f"{POISON}:80"] if poisoned else []) + [f"{random.getrandbits(32):08x}:400"]
        return client_headers(name, 12000, **{"X-Model": "m", "X-Token-Usage": f"600,{EVENTS * 5}",
                                              "X-Prompt-Prefix": ",".join(parts)})

    async def sound(number):
        turn = 0
        while not stop.is_set():
            turn += 1
            name = f"sound-{number}-{turn}"
            edge = fleet.edges[turn % len(fleet.edges)]
            answer = await call(fleet.front(edge), "POST", f"/letter/{number}", prompt(name, False), b"q", 12)
            whole = answer.status == 200 and not answer.error
            tally["sound"] += 1
            tally["served" if whole else "failed"] += 1
            if not whole:
                record.write("answer", request=name, status=answer.status, error=answer.error)
            await asyncio.sleep(0.2)

    async def poison(number):
        name = f"poison-{number}"
        edge = fleet.edges[number % len(fleet.edges)]
        answer = await call(fleet.front(edge), "POST", f"/letter/p{number}", prompt(name, True), f"p{number}".encode(), 12)
        record.write("answer", request=name, status=answer.status, error=answer.error, bytes=len(answer.body))

    tasks = [asyncio.create_task(sound(number)) for number in range(10)]
    await asyncio.sleep(3)
    for number in range(POISONED):
        tasks.append(asyncio.create_task(poison(number)))
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(2)
    stop.set()
    await asyncio.wait(tasks, timeout=15)
    for worker in workers:
        await worker.stop()
    late = []
    if len(crashes) >= 5:
        since = crashes[4] + BOUNDS["ConnectivityMs"] / 1000
        late = [arrival for arrival in arrivals if arrival[0] > since]
    record.write("summary", crashes=len(crashes), late=len(late), cut_sound_streams=len(cut_streams), **tally)
    print("crashes:", len(crashes), "reached workers later than ConnectivityMs after the fifth:", len(late),
          "sound streams cut:", len(cut_streams), tally)
    return BROKEN if len(late) > 3 else HELD


run(pathlib.Path(__file__).resolve().parent, scenario)
