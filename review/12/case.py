"""A job is cancelled at one entry while another, which holds it until there is room, is frozen."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import fleet as f

# Length of a `node_freeze` of the site.
FREEZE_S = 4.0


async def case(fleet):
    urgent = f.route(timeout_ms=20000, slo_ms=1000)
    await fleet.begin(f.config(urgent, f.route("/y/", timeout_ms=20000, slo_ms=1000, priority=1)))
    for index in range(2):
        await fleet.add_worker(f.Worker(fleet.record, f"w{index}"))
    first = await fleet.add_entry()
    second = await fleet.add_entry()
    await fleet.wait_ready()
    for entry in (first, second):
        await fleet.serve_some(entry)
    # All is calm for longer than `contact_ms`.
    await asyncio.sleep(f.CONTACT_MS / 1e3 + 0.5)
    # Work of another caller fills the workers until shortly before the frozen entry wakes.
    filling = fleet.submit(first, f.new_id(), "s=4.0", 4, cpu=8000, estimate_ms=4000,
                           deadline_ms=20000)
    filling = asyncio.create_task(filling)
    await asyncio.sleep(0.5)
    job = f.new_id()
    post = fleet.submit(second, job, "s=0.9", 2, cpu=8000, estimate_ms=900, deadline_ms=20000,
                        prefix="/y/")
    post = asyncio.create_task(post)
    await asyncio.sleep(0.5)
    if post.done() or f.starts_of(fleet.record, job):
        raise f.CannotRun("the job does not wait for room")
    if f.TROUBLE:
        second.signal(signal.SIGSTOP)
    status, acked = await fleet.cancel(first, job, prefix="/y/")
    if status != 200:
        raise f.CannotRun("the cancelling was not acknowledged")
    await asyncio.sleep(FREEZE_S)
    if f.TROUBLE:
        second.signal(signal.SIGCONT)
    await asyncio.gather(filling, post)
    await asyncio.sleep(1.5)
    return f.unasked(fleet.record, job, acked)


f.main(case, __file__)
