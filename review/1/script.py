"""Two machines of the core are replaced a second apart; later two of the five lose their disks."""
import asyncio
import json
import pathlib
import shutil
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from configs import client_headers, config
from fleet import BOUNDS, BROKEN, Fleet, HELD, Machine, TROUBLE, Worker, call, run

CALM_S = 20.0  # Between the replacements and the final fault; CatchUpS is 4 s.
DOWN_S = 0.6
READ_FOR_S = 40.0  # After the machines are back; RecoveryS is 12 s.


async def scenario(record, fleets):
    fleet = Fleet(record, cores=5, edges=3)
    fleets.append(fleet)

    async def handle(worker, method, path, headers, body, writer):
        await asyncio.sleep(0.03)
        return await worker.respond(writer, headers, 200, {"X-Response-Stamp": f"s.{headers['x-request-id']}"}, b"x" * 800)

    workers = [Worker(fleet, f"w{i}", "app", i, handle) for i in range(3)]
    operator = await fleet.launch(config(1), workers)
    await asyncio.sleep(8)
    gone = []
    if TROUBLE:
        # Two machines with a disk are gone for good; each successor comes 1 s later, empty, at another address.
        for number in (0, 1):
            old = fleet.cores[number]
            fleet.kill(old)
            gone.append(old)
            new = Machine(f"core-{5 + number}", "control", f"{fleet.net}.1.{20 + number}", old.zone)
            fleet.cores[number] = new
            await asyncio.sleep(1)
            fleet.start(new)
    await asyncio.sleep(CALM_S)
    if not await operator.replace(config(2), 15):
        record.write("not_acknowledged", version=2)
        return 2
    # The final fault: all machines lose power right after the acknowledgement, and two lose their disks.
    wiped = [machine for machine in fleet.cores if machine.name in ("core-2", "core-3")]
    for machine in fleet.cores + fleet.edges:
        machine.process.kill()
    for machine in fleet.cores + fleet.edges:
        machine.process.wait()
    for machine in wiped:
        shutil.rmtree(fleet.folder / machine.name)
    record.write("final_fault", disks_lost=[machine.name for machine in wiped])
    await asyncio.sleep(DOWN_S)
    for machine in fleet.cores + fleet.edges:
        fleet.start(machine)
    back = record.now()
    version, served, asked, turn = None, 0, 0, 0
    while record.now() < back + READ_FOR_S and not (version == 2 and served >= 20):
        turn += 1
        answer = await call(fleet.controls()[turn % 5], "GET", "/v1/Config.Read", timeout=1)
        if answer.status == 200 and not answer.error:
            version = json.loads(answer.body)["Version"]
        record.write("read", status=answer.status, version=version)
        if record.now() > back + BOUNDS["RecoveryS"]:
            for edge in fleet.edges:
                asked += 1
                answer = await call(fleet.front(edge), "POST", "/pay/1", client_headers(f"r-{asked}", 4000), b"p", 4.5)
                served += answer.status == 200
                record.write("answer", request=f"r-{asked}", status=answer.status, error=answer.error)
        await asyncio.sleep(0.5)
    for worker in workers:
        await worker.stop()
    for machine in gone:
        machine.process.wait()
    record.write("summary", read_back=version, acknowledged=2, asked=asked, served=served)
    print("acknowledged: version 2, read back:", version, "- served after RecoveryS:", served, "of", asked)
    return HELD if version == 2 and served * 4 >= asked else BROKEN


run(pathlib.Path(__file__).resolve().parent, scenario)
