"""LIMIT: a restarted agent fills its worker beyond a capacity that it had acknowledged."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from site_load import CONFIG, CPU, URGENT, WORKERS  # noqa: E402
from standins import CannotRun, Deployment, Request, job, run_case  # noqa: E402

# About 24 of the 30 tasks that fill the three workers, at work at any time.
TASKS, WORK_MS, EVERY_S, DEADLINE_MS = 6, 1000, 0.25, 1500
# Share of its room that the worker keeps.
SHRUNK = 0.55
# Orders that were on their way when the report was acknowledged are not judged.
ON_THE_WAY_S = 0.1


async def play(record, trouble):
    deployment = Deployment(record, fronts=1, sides=WORKERS, cpu=CPU)
    worker, agent, store = deployment.workers[0], deployment.sides[0], deployment.store
    load = None
    try:
        await deployment.start(CONFIG)
        load = asyncio.create_task(send_load(record, deployment.fronts[0]))
        await asyncio.sleep(3.0)
        if trouble:
            store.silent = True
            record.note("store", "gives no answers")
            await asyncio.sleep(0.5)
            worker.capacity = {**worker.capacity, "cpu": int(CPU * SHRUNK)}
            record.note(worker.name, "has less room", cpu=worker.capacity["cpu"])
            while worker.acked_cpu != worker.capacity["cpu"]:
                await asyncio.sleep(0.01)
            record.note(worker.name, "its report of less room was acknowledged")
            await asyncio.sleep(0.3)
            agent.signal(signal.SIGKILL)
            await agent.process.wait()
            await asyncio.sleep(0.3)
            store.silent = False
            record.note("store", "answers again")
            await asyncio.sleep(0.3)
            await agent.start()
            told_s = worker.acked_s
        else:
            told_s = record.now()
            await asyncio.sleep(3.0)
        await asyncio.sleep(3.0)
        if not worker.starts or worker.starts[-1][0] < told_s + 1.0:
            raise CannotRun("the worker got no tasks after that")
        return check(record, deployment.workers, worker, told_s)
    finally:
        if load:
            load.cancel()
        await deployment.end()


async def send_load(record, front):
    sent = []
    for number in range(1, 200):
        request = Request(record, front, "POST", f"{URGENT}{number:016x}", job(TASKS, WORK_MS),
                          DEADLINE_MS)
        sent.append(asyncio.create_task(request.send()))
        await asyncio.sleep(EVERY_S)


def check(record, workers, shrunk, told_s):
    """The rule, for starts after the worker's report of its room was acknowledged."""
    broken = []
    for worker in workers:
        since_s = told_s + ON_THE_WAY_S if worker is shrunk else 0.0
        late = [row for row in worker.overfull if row[0] > since_s]
        for at, used, capacity in late:
            record.note("check", "start beyond the capacity", worker=worker.name,
                        after_ack_s=round(at - told_s, 3), used=used, capacity=capacity)
        if late:
            worst = max(late, key=lambda row: row[1])
            broken.append(f"LIMIT: {len(late)} starts on {worker.name} took it beyond its "
                          f"capacity, up to {worst[1]} of {worst[2]}; the first "
                          f"{late[0][0] - told_s:.2f} s after the ack of its report")
    return broken


run_case(HERE, play)
