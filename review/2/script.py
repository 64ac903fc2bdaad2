"""A worker deregisters right after a cut, and a ping that the cut has held up arrives after that."""
import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from configs import client_headers, config
from fleet import BOUNDS, BROKEN, Channel, Fleet, HEARTBEAT_S, HELD, TROUBLE, Worker, call, run

CUT_S = 5.0  # From control only, as srv_cut.
HELD_UP_AFTER_CUT_S = 1.0  # The sender's retransmission timer has grown to seconds during the cut.
SERVES_ON_S = 9.0  # After its deregistration was acknowledged.


async def scenario(record, fleets):
    fleet = Fleet(record, cores=5, edges=3)
    fleets.append(fleet)
    acknowledged, late = [], []

    async def handle(worker, method, path, headers, body, writer):
        name = headers["x-request-id"]
        after = record.now() - acknowledged[0] if acknowledged and worker.name == "w0" else None
        record.write("runs", worker=worker.name, request=name, **({} if after is None else {"after_ack_s": f"{after:.2f}"}))
        if after is not None and after > BOUNDS["DrainMs"] / 1000:
            late.append(name)
        await asyncio.sleep(0.06)
        return await worker.respond(writer, headers, 200, {"X-Response-Stamp": f"s.{name}"}, b"x" * 800)

    workers = [Worker(fleet, f"w{i}", "app", i, handle, slots=6) for i in range(4)]
    await fleet.launch(config(), workers)
    await asyncio.sleep(4)
    stop, statuses = asyncio.Event(), {}

    async def client(number):
        turn = 0
        channel = Channel(fleet.front(fleet.edges[number % len(fleet.edges)]))
        while not stop.is_set():
            turn += 1
            answer = await channel.request("POST", f"/pay/{number}", client_headers(f"r-{number}-{turn}", 4000),
                                           b"p" * 600, 4.5)
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(client(number)) for number in range(30)]
    await asyncio.sleep(3)
    leaver = workers[0]
    before = leaver.sequence
    while leaver.sequence == before:
        await asyncio.sleep(0.01)
    await asyncio.sleep(HEARTBEAT_S - 0.15)
    held_up = None
    if TROUBLE:
        record.write("cut_from_control", worker=leaver.name, for_s=CUT_S)
        leaver.cut = True
        await asyncio.sleep(0.15)
        # The ping that is due now is under way when the cut begins, and is delivered once it has ended.
        leaver.sequence += 1
        held_up = leaver.ping_body()
        record.write("ping_is_held_up", worker=leaver.name, sequence=leaver.sequence, state=leaver.state)
        await asyncio.sleep(CUT_S - 0.15)
        record.write("cut_ends", worker=leaver.name)
    else:
        await asyncio.sleep(CUT_S)
    # The worker leaves: one that never reports draining deregisters first, serves on and exits.
    leaver.pinger.cancel()
    leaver.sequence += 1
    nodes = fleet.controls()
    for turn in range(20):
        body = json.dumps({"born": leaver.born, "Sequence": leaver.sequence}).encode()
        answer = await call(nodes[turn % len(nodes)], "POST", f"/v1/Instances.Deregister/{leaver.name}",
                            {"Content-Type": "application/json"}, body, 1.0)
        if 200 <= answer.status < 300:
            acknowledged.append(record.now())
            record.write("deregistration_acknowledged", worker=leaver.name, node=nodes[turn % len(nodes)][0],
                         sequence=leaver.sequence)
            break
        await asyncio.sleep(0.1)
    if held_up is not None:
        await asyncio.sleep(HELD_UP_AFTER_CUT_S)
        answer = await call(nodes[3], "POST", f"/v1/Instances.Heartbeat/{leaver.name}",
                            {"Content-Type": "application/json"}, held_up, 1.0)
        record.write("late_ping_arrives", worker=leaver.name, node=nodes[3][0], status=answer.status)
    await asyncio.sleep(SERVES_ON_S - HELD_UP_AFTER_CUT_S)
    await leaver.stop()
    record.write("worker_exits", worker=leaver.name)
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*clients)
    for worker in workers[1:]:
        await worker.stop()
    record.write("summary", acknowledged=acknowledged, late=len(late), statuses=statuses)
    print("requests that reached the worker later than DrainMs after the acknowledgement:", len(late), "answers:",
          statuses)
    if not acknowledged:
        return 2
    return BROKEN if late else HELD


run(pathlib.Path(__file__).resolve().parent, scenario)
