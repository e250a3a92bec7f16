#!/usr/bin/env python3
"""Compares the worth of two versions of the sources on the users' bench.

    bench/rounds.py BENCH BEFORE AFTER --why TEXT [--days A,B] [--seeds N]
                    [--jobs N] [--cpu] SITE...

BENCH is the users' bench; BEFORE and AFTER are checkouts, which the bench builds. A day
is a name in the site file or the path of a separate file. Every day is run under N seeds
in both checkouts. CPU time is charged only with --cpu, as runs are mostly reproducible
without. Prints for each site and in total: the number of runs, the mean worth before and
after, the mean difference, its standard error, and the difference in served jobs. A gain
below twice its error is not significant.
"""

import argparse
import concurrent.futures
import json
import pathlib
import re
import statistics
import subprocess
import sys
import tomllib

FIRST_SEED = 7001
ROW = re.compile(r"^(\S+)\s+\d+/\d+\s+([\d.]+)\s+(-?[\d.]+)\s+([\d.]+)\s+([\d.]+)\s+([\d.]+)\s", re.M)
PRICE = re.compile(r"^\s+-(-?[\d.]+)\s+-?[\d.]+ (.+)$", re.M)


def parse_args():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("bench")
    parser.add_argument("before", type=pathlib.Path)
    parser.add_argument("after", type=pathlib.Path)
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    parser.add_argument("--why", required=True)
    parser.add_argument("--days", help="comma-separated names or files of days")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--cpu", action="store_true")
    parser.add_argument("--keep", type=pathlib.Path,
                        help="directory in which results are cached by the names of the checkouts")
    return parser.parse_args()


def select_days(site, wanted):
    """Returns the days to run on a site: those given, or all with faults."""
    if wanted:
        return wanted.split(",")
    days = tomllib.loads(site.read_text())["day"]
    return [day["name"] for day in days if day["slot"] != "quiet"]


def run_cached(args, tree, site, day, seed):
    """Returns the result of a run, or the cached one."""
    if not args.keep:
        return run_bench(args, tree, site, day, seed)
    args.keep.mkdir(parents=True, exist_ok=True)
    name = f"{tree.name}-{site.stem}-{pathlib.Path(day).stem}-{seed}-{args.cpu}.json"
    file = args.keep / name
    if file.exists():
        return json.loads(file.read_text())
    result = run_bench(args, tree, site, day, seed)
    if result:
        file.write_text(json.dumps(result))
    return result


def run_bench(args, tree, site, day, seed):
    """Runs the bench once and returns worth and prices; None if it failed."""
    cmd = [args.bench, "run", str(site), day, "--seed", str(seed), "--why", args.why]
    if not args.cpu:
        cmd.append("--no-cpu")
    run = subprocess.run(cmd, cwd=tree, capture_output=True, text=True)
    row = ROW.search(run.stdout)
    if not row:
        print(f"no result: {tree} {site.name} {day} {seed}\n{run.stdout[-800:]}{run.stderr[-400:]}")
        return None
    broken = [line for line in run.stdout.splitlines() if "BROKEN" in line or "broke" in line[:12]]
    for line in broken:
        print(f"{tree.name} {site.name} {day} {seed}: {line}")
    prices = {name: float(value) for value, name in PRICE.findall(run.stdout)}
    return {"worth": float(row[3]), "served": float(row[4]), "prices": prices}


def print_comparison(name, pairs):
    """Prints a row for pairs of runs, before and after."""
    gaps = [after["worth"] - before["worth"] for before, after in pairs]
    before = statistics.mean(pair[0]["worth"] for pair in pairs)
    after = statistics.mean(pair[1]["worth"] for pair in pairs)
    error = statistics.stdev(gaps) / len(gaps) ** 0.5 if len(gaps) > 1 else float("nan")
    served = statistics.mean(after["served"] - before["served"] for before, after in pairs)
    print(f"{name:34} {len(pairs):5} {before:7.3f} {after:7.3f} {after - before:+8.4f} "
          f"{error:7.4f} {served:+8.4f}")


def run_all(args, tree):
    """Returns the results of all runs of a checkout, by site, day and seed."""
    keys = [(site, day, seed) for site in args.sites for day in select_days(site, args.days)
            for seed in range(FIRST_SEED, FIRST_SEED + args.seeds)]
    # Builds first, as concurrent runs must not build at the same time.
    subprocess.run([args.bench, "build"], cwd=tree, capture_output=True)
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        results = list(pool.map(lambda key: run_cached(args, tree, *key), keys))
    names = [(site.stem, pathlib.Path(day).stem, seed) for site, day, seed in keys]
    return dict(zip(names, results))


def print_table(title, before, after):
    """Prints a row for each site, and one for all runs that succeeded in both checkouts."""
    pairs = {key: (before[key], after[key]) for key in before if before[key] and after[key]}
    print(f"{title:34} plays  before   after     gain   error   served")
    for site in dict.fromkeys(key[0] for key in pairs):
        print_comparison(site[:30], [both for key, both in pairs.items() if key[0] == site])
    if len(pairs) > 1:
        print_comparison("all", list(pairs.values()))
    return len(pairs) == len(before)


def main():
    args = parse_args()
    before = run_all(args, args.before)
    after = run_all(args, args.after)
    for day in dict.fromkeys(key[1] for key in before):
        of_day = [{key: result for key, result in side.items() if key[1] == day}
                  for side in (before, after)]
        print_table(day, *of_day)
    return 0 if print_table("all days", before, after) else 1


if __name__ == "__main__":
    sys.exit(main())
