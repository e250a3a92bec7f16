#!/usr/bin/env python3
"""Runs the users' bench on a checkout with one mechanism removed at a time.

    bench/ablate.py BENCH CHECKOUT --why TEXT [--only A,B] [options of rounds.py] SITE...

CHECKOUT is a scratch copy of the sources without local changes. Each patch in
bench/ablations/ is applied to it, compared with the unpatched copy, and reverted.
A positive gain means that callers are served better without the mechanism.
"""

import argparse
import pathlib
import subprocess
import sys

import rounds


def parse_args():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("bench")
    parser.add_argument("checkout", type=pathlib.Path)
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    parser.add_argument("--why", required=True)
    parser.add_argument("--only", help="comma-separated names of patches")
    parser.add_argument("--days", help="comma-separated names or files of days")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--cpu", action="store_true")
    parser.set_defaults(keep=None)
    return parser.parse_args()


def git(args, *command):
    subprocess.run(["git", *command], cwd=args.checkout, check=True)


def main():
    args = parse_args()
    patch_dir = pathlib.Path(__file__).resolve().parent / "ablations"
    patches = sorted(patch_dir.glob("*.patch"))
    if args.only:
        patches = [patch for patch in patches if patch.stem in args.only.split(",")]
    reason = args.why
    args.why = f"{reason}: unpatched"
    baseline = rounds.run_all(args, args.checkout)
    for patch in patches:
        git(args, "apply", str(patch))
        args.why = f"{reason}: without {patch.stem}"
        without = rounds.run_all(args, args.checkout)
        git(args, "checkout", "-q", ".")
        rounds.print_table(f"without {patch.stem}", baseline, without)
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
