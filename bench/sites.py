#!/usr/bin/env python3
"""Generates random deployments from seeds, to be run on the users' bench.

    bench/sites.py TEMPLATE DIR SEED [SEED...]

TEMPLATE is a site file; the wire.json next to it is copied to DIR. A generated site has
the template's request kinds and days, but random work times, widths, task sizes, worker
speeds and counts, failure domains and traffic shares. Its load is a random fraction of
its capacity. Generated sites are not committed.
"""

import pathlib
import random
import shutil
import sys
import tomllib

# Minimum and maximum jobs per second: fewer jobs are too few for a statistic, more exceed
# the capacity of the entries.
JOBS_PER_S = (25.0, 330.0)
# Minimum and maximum load on a day of usual traffic, as a fraction of the capacity.
LOADS = (0.5, 0.8)


def draw(rng, site):
    """Draws the parameters of a deployment."""
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


def rates(params):
    """Returns the jobs per second of each kind that result in the drawn load."""
    speed = sum(params["speeds"]) / len(params["speeds"])
    capacity = params["workers"] * params["cores"] * params["load"] / speed
    total_share = sum(kind["share"] for kind in params["kinds"])
    job_rates = []
    for kind in params["kinds"]:
        cost = kind["width"] * kind["work_ms"] / 1000 * kind["cpu"] / 1000
        job_rates.append(capacity * kind["share"] / total_share / cost)
    return job_rates


def draw_within_limits(seed, site):
    """Returns the first draw of a seed whose job rate is within the limits."""
    for attempt in range(1000):
        params = draw(random.Random(seed * 1000 + attempt), site)
        if JOBS_PER_S[0] <= sum(rates(params)) <= JOBS_PER_S[1]:
            return params
    raise SystemExit(f"seed {seed}: no draw has a job rate within the limits")


def to_toml(item):
    """Formats a value as TOML, with inline tables."""
    if isinstance(item, bool):
        return "true" if item else "false"
    if isinstance(item, str):
        return '"' + item.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(item, dict):
        return "{ " + ", ".join(f"{key} = {to_toml(one)}" for key, one in item.items()) + " }"
    if isinstance(item, list):
        return "[" + ", ".join(to_toml(one) for one in item) + "]"
    return repr(item)


def apply_params(params, site, seed):
    """Applies drawn parameters to a site."""
    rng = random.Random(seed)
    per_s = rates(params)
    workers = params["workers"]
    site["name"] = f"drawn-{seed}"
    zones = [f"z{index}" for index in range(params["zones"])]
    region = site["zones"][0]["region"]
    site["zones"] = [{"name": zone, "region": region} for zone in zones]
    front, side = site["machines"][0], site["machines"][-1]
    counts = [workers // len(zones) + (index < workers % len(zones)) for index in range(len(zones))]
    site["machines"] = [dict(front, zone=zone) for zone in zones] + [
        dict(side, zone=zone, count=count) for zone, count in zip(zones, counts) if count]
    node = site["services"][0]["node"]
    node.update(cpu=params["cores"] * 1000, sizes=[1.0], kinds=["a"])
    site["services"][0]["speeds"] = params["speeds"]
    for kind, drawn, rate in zip(site["classes"], params["kinds"], per_s):
        mean = drawn["work_ms"]
        kind["work_ms"] = dict(kind["work_ms"], mean=mean, max=mean * 4)
        kind["jobs"]["width"] = dict(kind["jobs"]["width"], mean=drawn["width"], max=drawn["width"] * 4)
        kind["jobs"]["cpu"] = dict(kind["jobs"]["cpu"], mean=drawn["cpu"], max=drawn["cpu"] * 1.5)
        kind["worth"], kind["late_worth"] = 1.0 / rate, 0.2 / rate
    mix = {kind["name"]: rate for kind, rate in zip(site["classes"], per_s)}
    usual = sum(row["per_s"] for row in site["traffic"])
    shares = [rng.uniform(0.7, 1.3) for _ in zones]

    def traffic(rows):
        total = sum(row["per_s"] for row in rows) / usual * sum(per_s)
        return [dict(rows[0], zone=zone, mix=mix, per_s=total * share / sum(shares))
                for zone, share in zip(zones, shares)]

    for day in site["day"]:
        day["traffic"] = traffic(day["traffic"])
    site["traffic"] = traffic(site["traffic"])
    site["cloud"]["zone"] = zones[0]
    return site


def format_site(site):
    """Formats a site as TOML: plain keys, then tables, then days."""
    lines = [f"{key} = {to_toml(one)}" for key, one in site.items()
             if not isinstance(one, dict) and key != "day"]
    for key, one in site.items():
        if isinstance(one, dict):
            lines += ["", f"[{key}]"] + [f"{name} = {to_toml(part)}" for name, part in one.items()]
    for day in site["day"]:
        lines += ["", "[[day]]"] + [f"{name} = {to_toml(part)}" for name, part in day.items()]
    return "\n".join(lines) + "\n"


def main():
    template, target = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    target.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(template.parent / "wire.json", target / "wire.json")
    for seed in map(int, sys.argv[3:]):
        site = tomllib.loads(template.read_text())
        params = draw_within_limits(seed, site)
        site = apply_params(params, site, seed)
        (target / f"drawn-{seed}.toml").write_text(format_site(site))
        jobs = sum(row["per_s"] for row in site["traffic"])
        sizes = [f"{kind['width']}x{kind['work_ms']:.0f}ms/{kind['cpu'] / 1000:.1f}" for kind in params["kinds"]]
        machines = sum(row["count"] for row in site["machines"] if row["class"] == "side")
        print(f"drawn-{seed}: {machines} workers of {params['cores']} cores, speeds {params['speeds']}, "
              f"{params['zones']} domains, {jobs:.0f} jobs/s of {', '.join(sizes)}, load {params['load']:.2f}")


if __name__ == "__main__":
    main()
