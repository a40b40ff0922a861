"""The command line."""

import argparse
import os
import sys

from corkgauge import VERSION
from corkgauge.net import configuration


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="corkgauge", description="A workload manager before analytic engines.")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    commands.add_parser("serve", help="serve as the environment says (EDGE_CONFIG, EDGE_LISTEN)")
    commands.add_parser("check", help="check that configuration, and serve nothing")
    commands.add_parser("version", help="print the version")
    command = parser.parse_args().command
    if command == "version":
        print(VERSION)
        return 0
    try:
        post = configuration.read(os.environ)
        from corkgauge.net import program
        return program.check(post) if command == "check" else program.serve(post)
    except configuration.Faulty as problem:
        print(f"corkgauge: {problem}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
