#!/usr/bin/env python3
"""Generates a bench day for each pair of faults, to be run on the users' bench.

    bench/pairs.py SITE DIR [FIRST [COUNT]]

SITE is a site file, whose traffic is used. Each day has both faults twice,
overlapping, in either order, and ends with all processes killed. FIRST and COUNT
select a part of the pairs, which are in a fixed, shuffled order.
"""

import itertools
import pathlib
import random
import sys
import tomllib

# A severe form of each fault that the bench's `kinds` lists for best-effort jobs. PLANS
# are planned operations, which go under the key `plan`.
FAULTS = {
    "burst": 'kind = "burst", x = 1.5, for_s = 4.0',
    "give-up": 'kind = "give_up", share = 0.4, for_s = 5.0',
    "workers-crash": 'kind = "srv_crash", share = 0.25, for_s = 3.0',
    "workers-crash-dark": 'kind = "srv_crash", share = 0.25, for_s = 3.0, how = "dark gone"',
    "workers-slow": 'kind = "srv_slow", share = 0.25, x = 6.0, for_s = 5.0',
    "workers-fail": 'kind = "srv_grey", share = 0.2, x = 1.0, for_s = 5.0, how = "errors"',
    "workers-hang": 'kind = "srv_grey", share = 0.2, x = 1.0, for_s = 5.0, how = "hang"',
    "workers-mute": 'kind = "srv_grey", share = 0.2, x = 1.0, for_s = 5.0, how = "mute"',
    "workers-cut": 'kind = "srv_cut", share = 0.25, for_s = 4.0, how = "one_way"',
    "orders-late": 'kind = "applied_late", x = 0.2, for_s = 6.0, how = "all"',
    "agents-killed": 'kind = "node_kill", on = "side", share = 0.3, how = "hard"',
    "agents-frozen": 'kind = "node_freeze", on = "side", share = 0.3, for_s = 1.5',
    "agents-cut": 'kind = "node_cut", on = "side", share = 0.3, for_s = 1.5, how = "all"',
    "entries-killed": 'kind = "node_kill", on = "front", count = 2, how = "power", for_s = 2.0',
    "entries-frozen": 'kind = "node_freeze", on = "front", count = 1, for_s = 2.0, how = "meet"',
    "entries-cut": 'kind = "node_cut", on = "front", count = 1, for_s = 3.0, how = "all meet"',
    "slow-machines": 'kind = "node_slow", share = 0.3, x = 5.0, for_s = 4.0',
    "clocks": 'kind = "clock_step", share = 0.4, x = 3000, for_s = 4.0, how = "back"',
    "links-lossy": 'kind = "lossy", x = 0.06, for_s = 5.0',
    "resets": 'kind = "reset_conns", share = 0.5, x = 0.8',
    "store-silent": 'kind = "platform_down", for_s = 5.0, how = "silent lapse"',
    "store-picks": 'kind = "platform_down", for_s = 6.0, share = 0.4, how = "nodes many revoke meet"',
    "store-slow": 'kind = "platform_slow", x = 60.0, for_s = 5.0',
    "store-loses": 'kind = "platform_lost", x = 0.5, for_s = 5.0, how = "late"',
    "store-forgets": 'kind = "platform_compact", x = 4.0, for_s = 5.0, how = "drain"',
    "entry-replaced": 'kind = "replace_core", x = 2.0, how = "leader"',
}
PLANS = {
    "entries-rolled": 'kind = "roll_term", share = 1.0, gap_s = 1.5, how = "busy"',
    "agents-rolled": 'kind = "roll_term", on = "side", share = 0.4, gap_s = 1.0',
    "release": 'kind = "release", share = 0.5, gap_s = 1.0',
    "scale-in": 'kind = "scale_in", share = 0.12',
    "config": 'kind = "config_change", how = "timeout"',
    "reload": 'kind = "hup", share = 0.6, gap_s = 2.0',
}
# Start times of the faults, in seconds from the start of traffic.
FIRST_AT, FIRST_OVERLAP = 4.0, 5.2
SECOND_AT, SECOND_OVERLAP = 16.0, 16.8


def format_entries(table, times):
    rows = [f"  {{ at = {at}, {table[name]} }}," for name, at in times if name in table]
    return "\n".join(rows)


def format_day(name, pair, traffic, seed):
    a, b = pair
    times = [(a, FIRST_AT), (b, FIRST_OVERLAP), (b, SECOND_AT), (a, SECOND_OVERLAP)]
    return "\n".join(
        [
            "[[day]]",
            f'name = "{name}"',
            'slot = "trouble"',
            f"seed = {seed}",
            "one = 0.8",
            "zero = 0.4",
            'closing = { kind = "kill_all", down_s = 0.8 }',
            f"plan = [\n{format_entries(PLANS, times)}\n]",
            f"faults = [\n{format_entries(FAULTS, times)}\n]",
            f"traffic = {traffic}",
            "",
        ]
    )


def to_toml(value):
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {to_toml(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(to_toml(item) for item in value) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)


def main():
    site, out = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    first = int(sys.argv[3]) if len(sys.argv) > 3 else 0
    last = first + int(sys.argv[4]) if len(sys.argv) > 4 else None
    site_config = tomllib.loads(site.read_text())
    fault_day = next(day for day in site_config["day"] if day["slot"] == "trouble")
    traffic = to_toml(fault_day["traffic"])
    pairs = list(itertools.combinations([*FAULTS, *PLANS], 2))
    random.Random(1).shuffle(pairs)
    out.mkdir(parents=True, exist_ok=True)
    for number, pair in enumerate(pairs[first:last], first):
        name = f"{number:03}-{pair[0]}-{pair[1]}"
        (out / f"{name}.toml").write_text(format_day(name, pair, traffic, 4711 + number))


if __name__ == "__main__":
    main()
