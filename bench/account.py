#!/usr/bin/env python3
"""Tells from the processes' logs which jobs were not served in time, and why.

    bench/account.py LOG [--span SECONDS]

LOG is what a play with `--log all` printed (`--log front` does as well, but then
nothing is said of room). For each span and route: jobs in time and late by the entry's
own objective, refused and failed by reason; and for each span the room that gates had
left when they ordered runs, and how long these had waited there.
"""

import argparse
import collections
import pathlib
import re

LINE = re.compile(r'time_ms=(\d+) level=\w+ msg="([^"]+)" process=(\S+) (.*)$')
FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')
# Parts of the objective that the entry keeps back when it says when to begin.
RUN_MARGIN = 1.1
OVERHEAD_US = 10_000


def arguments():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("log", type=pathlib.Path)
    parser.add_argument("--span", type=float, default=1.0, help="seconds in a row")
    return parser.parse_args()


def events(path):
    """Time of the day in seconds, message, process and fields of each line."""
    with path.open(errors="replace") as f:
        rows = [row for row in map(parsed, f) if row]
    # Lines come in batches, and wall clocks differ: the earliest line of a process after
    # its own clock tells how far that is off.
    offsets = {}
    for shown_s, wall_ms, _, process, _ in rows:
        offset = shown_s - wall_ms / 1e3
        offsets[process] = min(offsets.get(process, offset), offset)
    for _, wall_ms, message, process, fields in rows:
        yield wall_ms / 1e3 + offsets[process], message, process, fields


def parsed(line):
    found = LINE.search(line)
    try:
        shown_s = float(line.split(maxsplit=1)[0])
    except (ValueError, IndexError):
        return None
    if not found:
        return None
    fields = {name: value.strip('"') for name, value in FIELD.findall(found[4])}
    return shown_s, int(found[1]), found[2], found[3], fields


def outcome(fields):
    """What became of a job, in a few words."""
    code, why = fields["code"], re.sub(r"[\d.]+", "N", fields.get("why", ""))
    if code != "COMPLETE":
        return f"{code}: {why}"
    expected_us = int(fields["expected_us"])
    objective_us = int(fields["begin_within_us"]) + RUN_MARGIN * expected_us + OVERHEAD_US
    return "in time" if int(fields["took_us"]) <= objective_us else "late"


def main():
    args = arguments()
    jobs = collections.defaultdict(collections.Counter)
    orders = collections.defaultdict(list)
    broken = 0
    for at_s, message, process, fields in events(args.log):
        span = int(at_s / args.span)
        try:
            if message == "job over":
                jobs[span, fields["route"]][outcome(fields)] += 1
            elif message == "run ordered":
                order = (process, int(fields["free_cpu_milli"]), int(fields["waited_us"]))
                orders[span].append(order)
        except (KeyError, ValueError):
            # Lines of several processes may be mixed up where they were cut.
            broken += 1
    for (span, route), outcomes in sorted(jobs.items()):
        print(f"{span * args.span:8.1f} {route}")
        for what, count in outcomes.most_common():
            print(f"{count:18} {what}")
    for span, rows in sorted(orders.items()):
        gates = {process for process, _, _ in rows}
        free = sum(free for _, free, _ in rows) / len(rows) / 1e3
        waited = [waited_us for _, _, waited_us in rows if waited_us]
        mean_ms = sum(waited) / max(1, len(waited)) / 1e3
        print(f"{span * args.span:8.1f} {len(rows)} orders at {len(gates)} gates, {free:.1f} cores"
              f" left, {len(waited)} waited {mean_ms:.0f} ms")
    print(f"{broken} lines not read")


if __name__ == "__main__":
    main()
