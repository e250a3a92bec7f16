"""Configuration and ordinary load of the small deployment that the scripts play."""

import asyncio

from standins import HOST, SERVICE, Request, job

# Prefixes of the queues, by priority, as in the deployments' own configurations.
URGENT, NORMAL, LESS_URGENT = "/lohu930/", "/pule252/", "/pufi791/"
PRIORITIES = {URGENT: 0, LESS_URGENT: 2, NORMAL: 1}
# How long callers wait, and the time-out of the routes; the bench's callers wait up to 16 s.
DEADLINE_MS, TIMEOUT_MS = 12000, 13000
# Three workers: 30 tasks of 1.6 cores fill them.
WORKERS, CPU = 3, 16000
# Ordinary load: about 19 tasks at work at any time.
LOAD_TASKS, LOAD_MS, LOAD_EVERY_S = 6, 3400, 1.1
# A job that is too wide to begin beside that load.
WIDE_TASKS, WIDE_MS = 20, 1000

CONFIG = {
    "version": 7,
    "routes": [{"name": f"r-{index}", "host": HOST, "path_prefix": prefix, "kind": "mutating",
                "timeout_ms": TIMEOUT_MS, "slo_ms": 60, "priority": priority,
                "service": SERVICE, "attempts": 2, "stretch": 1.6}
               for index, (prefix, priority) in enumerate(PRIORITIES.items())],
    "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1",
                  "tls": False, "rejects_overload": False, "spare": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}


def load_request(record, front, number):
    """One urgent job of the ordinary load."""
    return Request(record, front, "POST", f"{URGENT}{number:016x}", job(LOAD_TASKS, LOAD_MS),
                   DEADLINE_MS)


def wide_request(record, front, name):
    """A less urgent job that waits for room."""
    return Request(record, front, "POST", f"{LESS_URGENT}{name}", job(WIDE_TASKS, WIDE_MS),
                   DEADLINE_MS)


async def send_load(record, front, jobs):
    """Sends `jobs` urgent jobs at even intervals."""
    sent = []
    for number in range(1, jobs + 1):
        sent.append(asyncio.create_task(load_request(record, front, number).send()))
        await asyncio.sleep(LOAD_EVERY_S)
    await asyncio.gather(*sent)
