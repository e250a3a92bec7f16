#!/usr/bin/env python3
"""Draws deployments from seeds, to be played on the users' bench.

    bench/sites.py TEMPLATE DIR SEED [SEED...]

TEMPLATE is a site file; the wire.json beside it is copied to DIR. A drawn site has
its kinds of request and its days, but other work times, widths, sizes of tasks,
speeds and numbers of workers, failure domains and shares of traffic. Its load is a
drawn part of its capacity. Nothing of it is kept in the repository.
"""

import pathlib
import random
import shutil
import sys
import tomllib

# Jobs a second of a drawn deployment: entries on a quarter of a core take the most,
# fewer than the least tell little in half a minute.
JOBS_PER_S = (25.0, 330.0)
# Part of the capacity that is asked for on a day of usual traffic.
LOADS = (0.5, 0.8)


def draw(rng, site):
    """Parameters of a deployment."""
    classes = site["classes"]
    scale = rng.choice([0.1, 0.25, 0.5, 1.0, 2.0, 4.0])
    workers = rng.randint(5, 24)
    zones = rng.randint(2, 6)
    speeds = rng.choice([[1.0], [1.0, 1.0, 1.3], [1.0, 0.6, 1.8], [0.8, 1.0, 1.2, 2.0]])
    cores = rng.choice([8, 16, 32, 64])
    kinds = []
    for kind in classes:
        kinds.append({
            "work_ms": kind["work_ms"]["mean"] * scale * rng.uniform(0.6, 1.7),
            "width": max(1, round(rng.choice([1, 2, 4, 8, 12]))),
            "cpu": cores * 1000 * rng.choice([0.01, 0.03, 0.1, 0.2, 0.5]),
            "share": rng.uniform(0.15, 1.0),
        })
    return {"scale": scale, "workers": workers, "zones": zones, "speeds": speeds,
            "cores": cores, "kinds": kinds, "load": rng.uniform(*LOADS)}


def rates(par):
    """Jobs a second of each kind, so that the load is as drawn."""
    speed = sum(par["speeds"]) / len(par["speeds"])
    capacity = par["workers"] * par["cores"] * par["load"] / speed
    whole = sum(kind["share"] for kind in par["kinds"])
    found = []
    for kind in par["kinds"]:
        cost = kind["width"] * kind["work_ms"] / 1000 * kind["cpu"] / 1000
        found.append(capacity * kind["share"] / whole / cost)
    return found


def draw_playable(seed, site):
    """The first draw of a seed whose number of jobs the bench can play."""
    for attempt in range(1000):
        par = draw(random.Random(seed * 1000 + attempt), site)
        if JOBS_PER_S[0] <= sum(rates(par)) <= JOBS_PER_S[1]:
            return par
    raise SystemExit(f"seed {seed}: no draw is playable")


def value(item):
    """TOML of a value; tables are written inline."""
    if isinstance(item, bool):
        return "true" if item else "false"
    if isinstance(item, str):
        return '"' + item.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(item, dict):
        return "{ " + ", ".join(f"{key} = {value(one)}" for key, one in item.items()) + " }"
    if isinstance(item, list):
        return "[" + ", ".join(value(one) for one in item) + "]"
    return repr(item)


def spread(par, site, seed):
    """The site of drawn parameters."""
    rng = random.Random(seed)
    per_s = rates(par)
    workers = par["workers"]
    site["name"] = f"drawn-{seed}"
    zones = [f"z{index}" for index in range(par["zones"])]
    region = site["zones"][0]["region"]
    site["zones"] = [{"name": zone, "region": region} for zone in zones]
    front, side = site["machines"][0], site["machines"][-1]
    counts = [workers // len(zones) + (index < workers % len(zones)) for index in range(len(zones))]
    site["machines"] = [dict(front, zone=zone) for zone in zones] + [
        dict(side, zone=zone, count=count) for zone, count in zip(zones, counts) if count]
    node = site["services"][0]["node"]
    node.update(cpu=par["cores"] * 1000, sizes=[1.0], kinds=["a"])
    site["services"][0]["speeds"] = par["speeds"]
    for kind, drawn, rate in zip(site["classes"], par["kinds"], per_s):
        mean = drawn["work_ms"]
        kind["work_ms"] = dict(kind["work_ms"], mean=mean, max=mean * 4)
        kind["jobs"]["width"] = dict(kind["jobs"]["width"], mean=drawn["width"], max=drawn["width"] * 4)
        kind["jobs"]["cpu"] = dict(kind["jobs"]["cpu"], mean=drawn["cpu"], max=drawn["cpu"] * 1.5)
        kind["worth"], kind["late_worth"] = 1.0 / rate, 0.2 / rate
    mix = {kind["name"]: rate for kind, rate in zip(site["classes"], per_s)}
    usual = sum(row["per_s"] for row in site["traffic"])
    shares = [rng.uniform(0.7, 1.3) for _ in zones]

    def traffic(rows):
        whole = sum(row["per_s"] for row in rows) / usual * sum(per_s)
        return [dict(rows[0], zone=zone, mix=mix, per_s=whole * share / sum(shares))
                for zone, share in zip(zones, shares)]

    for day in site["day"]:
        day["traffic"] = traffic(day["traffic"])
    site["traffic"] = traffic(site["traffic"])
    site["cloud"]["zone"] = zones[0]
    return site


def write(site):
    """TOML of a site: plain keys, then tables, then the days."""
    lines = [f"{key} = {value(one)}" for key, one in site.items()
             if not isinstance(one, dict) and key != "day"]
    for key, one in site.items():
        if isinstance(one, dict):
            lines += ["", f"[{key}]"] + [f"{name} = {value(part)}" for name, part in one.items()]
    for day in site["day"]:
        lines += ["", "[[day]]"] + [f"{name} = {value(part)}" for name, part in day.items()]
    return "\n".join(lines) + "\n"


def main():
    template, target = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    target.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(template.parent / "wire.json", target / "wire.json")
    for seed in map(int, sys.argv[3:]):
        site = tomllib.loads(template.read_text())
        par = draw_playable(seed, site)
        site = spread(par, site, seed)
        (target / f"drawn-{seed}.toml").write_text(write(site))
        jobs = sum(row["per_s"] for row in site["traffic"])
        sizes = [f"{kind['width']}x{kind['work_ms']:.0f}ms/{kind['cpu'] / 1000:.1f}" for kind in par["kinds"]]
        machines = sum(row["count"] for row in site["machines"] if row["class"] == "side")
        print(f"drawn-{seed}: {machines} workers of {par['cores']} cores, speeds {par['speeds']}, "
              f"{par['zones']} domains, {jobs:.0f} jobs/s of {', '.join(sizes)}, load {par['load']:.2f}")


if __name__ == "__main__":
    main()
