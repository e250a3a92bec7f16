#!/usr/bin/env python3
"""Takes one mechanism after the other out of a checkout and plays days without it.

    bench/ablate.py BENCH CHECKOUT --why TEXT [--only A,B] [options of rounds.py] SITE...

CHECKOUT is a scratch copy of the sources without changes of its own. Each patch in
bench/ablations/ is applied there, played against the copy as it is, and taken back.
A gain above zero means that callers are served better without the mechanism.
"""

import argparse
import pathlib
import subprocess
import sys

import rounds


def arguments():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("bench")
    parser.add_argument("checkout", type=pathlib.Path)
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    parser.add_argument("--why", required=True)
    parser.add_argument("--only", help="names of patches, separated by commas")
    parser.add_argument("--days", help="names or files, separated by commas")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--cpu", action="store_true")
    parser.set_defaults(keep=None)
    return parser.parse_args()


def git(args, *words):
    subprocess.run(["git", *words], cwd=args.checkout, check=True)


def main():
    args = arguments()
    folder = pathlib.Path(__file__).resolve().parent / "ablations"
    patches = sorted(folder.glob("*.patch"))
    if args.only:
        patches = [patch for patch in patches if patch.stem in args.only.split(",")]
    why = args.why
    args.why = f"{why}: as it is"
    whole = rounds.play_all(args, args.checkout)
    for patch in patches:
        git(args, "apply", str(patch))
        args.why = f"{why}: without {patch.stem}"
        without = rounds.play_all(args, args.checkout)
        git(args, "checkout", "-q", ".")
        rounds.table(f"without {patch.stem}", whole, without)
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
