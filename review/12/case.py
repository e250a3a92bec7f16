"""Minions crash silently and start again under their ids as another kind; a stop that the new life
answers makes its agent take it for the old one, and start tasks there that need the old kind."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import fleet as f

# One at a time is dark: 0.125 of them (`srv_crash` of the site: share 0.14).
MINIONS = 8
CRASHES = 24
DARK_S = 0.6
FIRST_REPORT_S = 0.3
KINDS = ("a", "b")


class Minion(f.Worker):
    """A minion that can lose power and start again under its id."""

    def __init__(self, record, name, kind):
        super().__init__(record, name, born=1_700_000_000_000)
        self.kind, self.dark = kind, False

    def report(self):
        return {**super().report(), "labels": [self.kind, "r1"]}

    async def answer(self, method, path, query, headers, body):
        life = self.born
        reply = None if self.dark else await super().answer(method, path, query, headers, body)
        return reply if self.born == life else None

    def _start(self, body):
        reply = super()._start(body)
        needed = body["spec"].split()[1].split("=")[1]
        if reply == (200, None) and needed != self.kind:
            self.record.add("wrong kind", worker=self.name, born=self.born, kind=self.kind,
                            task=body["task"], needed=needed)
        return reply

    async def crash(self):
        """Its runs die, it says nothing, and it starts again as the other kind."""
        for task in list(self.runs):
            run = self.runs.pop(task)
            self.record.add("end", worker=self.name, task=task, run=run["run"], how="died")
        self.dark = True
        self.beating = False
        self.record.add("crash", worker=self.name, kind=self.kind)
        self.kind = KINDS[1 - KINDS.index(self.kind)]
        self.born += 60_000
        self.fence, self.barred, self.ends, self.last_end = 0, {}, [], 0
        self.lease_until, self.call_seq = 0, 0
        await asyncio.sleep(DARK_S)
        # Connections to the life before are reset.
        for writer in list(self.connections):
            writer.transport.abort()
        self.zero = f.time.monotonic()
        self.dark = False
        self.record.add("starts again", worker=self.name, kind=self.kind, born=self.born)
        await asyncio.sleep(FIRST_REPORT_S)


async def caller(fleet, entry, kind):
    while True:
        job, spec = f.new_id(), f"s=0.1 kind={kind}"
        await fleet.submit(entry, job, spec, 4, cpu=200, estimate_ms=100, requires=kind)
        await asyncio.sleep(0.01)


async def case(fleet):
    await fleet.begin(f.config(f.route(slo_ms=500)))
    for index in range(MINIONS):
        await fleet.add_worker(Minion(fleet.record, f"w{index}", KINDS[index % 2]))
    for worker in fleet.workers:
        worker.work_s = lambda spec: float(spec.split()[0].split("=")[1])
    entry = await fleet.add_entry()
    await fleet.wait_ready()
    await asyncio.sleep(1.0)
    callers = [asyncio.create_task(caller(fleet, entry, kind)) for kind in KINDS * 16]
    for index in range(CRASHES):
        await asyncio.sleep(1.5)
        if f.TROUBLE:
            worker, agent = fleet.workers[index % 2], fleet.agents[index % 2]
            await worker.crash()
            await worker.beat(agent.control)
            worker.beating = True
    for task in callers:
        task.cancel()
    await asyncio.sleep(1.0)
    wrong = fleet.record.of("wrong kind")
    if not wrong:
        return []
    return [f"ROUTE: {len(wrong)} tasks were started on a minion without the label that they require"]


f.main(case, __file__)
