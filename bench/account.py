#!/usr/bin/env python3
"""Summarizes from the processes' logs which jobs missed their objective, and why.

    bench/account.py LOG [--span SECONDS]

LOG is the output of a bench run with `--log all` (with `--log front`, the rows on gates
are missing). Prints for each interval and route the numbers of jobs that were in time and
late by the entry's objective, and of rejected and failed jobs by reason; and for each
interval the free cores of gates when they ordered runs, and the waiting time of these runs.
"""

import argparse
import collections
import pathlib
import re

LINE = re.compile(r'time_ms=(\d+) level=\w+ msg="([^"]+)" process=(\S+) (.*)$')
FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')
# Reserves that the entry subtracts from the objective to get the latest start of a job.
RUN_MARGIN = 1.1
OVERHEAD_US = 10_000


def parse_args():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("log", type=pathlib.Path)
    parser.add_argument("--span", type=float, default=1.0, help="interval in seconds")
    return parser.parse_args()


def read_events(path):
    """Yields the time in seconds, message, process and fields of each line."""
    with path.open(errors="replace") as f:
        rows = [row for row in map(parse_line, f) if row]
    # Lines arrive in batches and the wall clocks of processes differ. The smallest difference
    # between the time of printing and that of logging is the offset of a process's clock.
    offsets = {}
    for shown_s, wall_ms, _, process, _ in rows:
        offset = shown_s - wall_ms / 1e3
        offsets[process] = min(offsets.get(process, offset), offset)
    for _, wall_ms, message, process, fields in rows:
        yield wall_ms / 1e3 + offsets[process], message, process, fields


def parse_line(line):
    match = LINE.search(line)
    try:
        shown_s = float(line.split(maxsplit=1)[0])
    except (ValueError, IndexError):
        return None
    if not match:
        return None
    fields = {name: value.strip('"') for name, value in FIELD.findall(match[4])}
    return shown_s, int(match[1]), match[2], match[3], fields


def describe_outcome(fields):
    """Describes the outcome of a job."""
    code, why = fields["code"], re.sub(r"[\d.]+", "N", fields.get("why", ""))
    if code != "COMPLETE":
        return f"{code}: {why}"
    expected_us = int(fields["expected_us"])
    objective_us = int(fields["begin_within_us"]) + RUN_MARGIN * expected_us + OVERHEAD_US
    return "in time" if int(fields["took_us"]) <= objective_us else "late"


def main():
    args = parse_args()
    jobs = collections.defaultdict(collections.Counter)
    orders = collections.defaultdict(list)
    unreadable = 0
    for at_s, message, process, fields in read_events(args.log):
        span = int(at_s / args.span)
        try:
            if message == "job over":
                jobs[span, fields["route"]][describe_outcome(fields)] += 1
            elif message == "run ordered":
                order = (process, int(fields["free_cpu_milli"]), int(fields["waited_us"]))
                orders[span].append(order)
        except (KeyError, ValueError):
            # Lines of several processes may be interleaved.
            unreadable += 1
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
              f" free, {len(waited)} waited {mean_ms:.0f} ms")
    print(f"{unreadable} lines could not be parsed")


if __name__ == "__main__":
    main()
