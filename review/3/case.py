"""UNASKED: a job is started on workers seconds after its cancelling was acknowledged."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from site_load import CONFIG, CPU, LESS_URGENT, WORKERS, send_load, wide_request  # noqa: E402
from standins import BOUNDS, Deployment, Request, run_case  # noqa: E402

NAME = "5c0e7a21d94b36f8"
LOAD_JOBS = 8


async def play(record, trouble):
    deployment = Deployment(record, fronts=2, sides=WORKERS, cpu=CPU)
    entry, other = deployment.fronts
    try:
        await deployment.start(CONFIG)
        load = asyncio.create_task(send_load(record, other, LOAD_JOBS))
        await asyncio.sleep(6.0)
        request = wide_request(record, entry, NAME)
        waiting = asyncio.create_task(request.send())
        await asyncio.sleep(0.2)
        cancel = Request(record, entry, "DELETE", f"{LESS_URGENT}{NAME}")
        if trouble:
            await cancel.send()
        await waiting
        await load
        await asyncio.sleep(0.5)
        return check(record, deployment, cancel)
    finally:
        await deployment.end()


def check(record, deployment, cancel):
    """The rule: a cancel counts as acknowledged by a 2xx or 410."""
    if cancel.status is None or not (200 <= cancel.status < 300 or cancel.status == 410):
        return []
    limit_s = cancel.over_s + BOUNDS["cancel_ms"] / 1e3
    stop_s = limit_s + BOUNDS["stop_ms"] / 1e3
    late, running = [], []
    for worker in deployment.workers:
        ends = {(task, run): at for at, task, run, _ in worker.end_log}
        for at, task, run in worker.starts:
            if not task.startswith(NAME):
                continue
            record.note("check", "start of the job", task=task, run=run,
                        after_cancel_s=round(at - cancel.over_s, 3))
            if at > limit_s:
                late.append(at - cancel.over_s)
            elif ends.get((task, run), record.now()) > stop_s:
                running.append(task)
    if not late and not running:
        return []
    return [f"UNASKED: {len(late)} tasks started more than cancel_ms after the ack of the job's "
            f"cancelling (the last {max(late, default=0):.2f} s after it), {len(running)} were "
            "still running stop_ms after that point"]


run_case(play, record_path=sys.argv[1], trouble=os.environ["TROUBLE"] != "0")
