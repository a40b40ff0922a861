"""The real program with one of its entry points damaged, for tests only; the product has no such command.

python tests/corrupted_files.py DAMAGE serve ...      the program, damaged once after a second
python tests/corrupted_files.py play DAMAGE           a short day with it; prints what was found, as
JSON
"""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

AFTER = 1.5  # seconds from the start
HOLDS = "at 1 for 2: e1 silent"  # so that something is open for longer than a pass


def skipped(method):
    return lambda self, *what: None


def doubled(method):
    def twice(self, *what):
        method(self, *what)
        method(self, *what)

    return twice


# Damage: which method of the ledger, how; and the kind that must be found, on what sort of row.
ENTRIES = {
    "taken skipped": ("record_accepted", skipped, "never entered", "offering"),
    "taken doubled": ("record_accepted", doubled, "entered twice", "offering"),
    "closed skipped": ("record_closed", skipped, "never closed", "offering"),
    "closed doubled": ("record_closed", doubled, "closed twice", "offering"),
    "handed off skipped": ("record_attempt_sent", skipped, "hand-off never entered", "engine"),
    "handed off doubled": ("record_attempt_sent", doubled, "hand-off entered twice", "engine"),
    "handoff over skipped": ("record_attempt_finished", skipped, "hand-off never closed", "engine"),
    "handoff over doubled": ("record_attempt_finished", doubled, "hand-off closed twice", "engine"),
    "connection up skipped": (
        "record_connection_opened",
        skipped,
        "books differ",
        "client connections",
    ),
    "connection over doubled": (
        "record_connection_closed",
        doubled,
        "books differ",
        "client connections",
    ),
}


def hurt_tables(socket_host, what):
    """Damage to the records and counts themselves: what must be found, and where."""
    ledger = socket_host.ledger
    rows = [*ledger.request_classes.values()]
    if what == "name lost":
        request = max(
            socket_host.open_requests.values(),
            key=lambda request: request.accepted_at + request.time_to_deadline,
        )
        del socket_host.open_requests[request.host_reference.name]
        return request.request_class.name
    if what == "errand lost":
        in_flight_attempt = socket_host.in_flight_attempts.pop(
            next(iter(socket_host.in_flight_attempts))
        )
        return in_flight_attempt.engine_row.name
    if what == "cancelling":  # one in a million, that cancels out in the totals
        rows[0].terms[0] += 1
        rows[0].open += 1
        rows[1].terms[0] -= 1
        rows[1].open -= 1
        return rows[0].name
    if what == "swapped":  # cancels out even in its own row's count
        rows[0].open_serials += 1
        return rows[0].name
    if what == "term altered":
        rows[0].terms[1] += 1
        return rows[0].name
    if what == "reason altered":
        rows[1].reasons[0] += 1
        return rows[1].name
    if what == "sort altered":
        rows[0].sent_by_kind[1] += 1
        return "further"
    engine_pool = next(iter(socket_host.engine_pools.values()))
    if what == "threads lost":
        engine_pool.engine.threads_in_flight += 1
        return engine_pool.engine.name
    if what == "page lost":
        engine_pool.row.pages -= 1
        return "pages"
    raise SystemExit(f"no damage {what!r}")


TABLES = {
    "name lost": "lost from the table",
    "errand lost": "hand-off never closed",
    "cancelling": "count altered",
    "swapped": "count altered",
    "term altered": "terms differ",
    "reason altered": "terms differ",
    "sort altered": "books differ",
    "threads lost": "engine out of step",
    "page lost": "books differ",
}
ALL = [*ENTRIES, *TABLES]


def damage_entry(what):
    """The method does it once, and then works as ever."""
    from corkgauge.accounting.ledger import RequestLedger

    name, how, _, _ = ENTRIES[what]
    method, begun = getattr(RequestLedger, name), time.time()
    bad = how(method)

    def hurt(self, *args):
        if time.time() < begun + AFTER or (name.startswith("record_connection") and args[0] != 0):
            return method(self, *args)
        setattr(RequestLedger, name, method)
        row = getattr(args[0], "engine_row", None) or getattr(args[0], "row", None)
        print(
            f"damaged {time.time():.3f} {row.name if row else 'client connections'}",
            file=sys.stderr,
            flush=True,
        )
        return bad(self, *args)

    setattr(RequestLedger, name, hurt)


def damage_tables(what):
    from corkgauge.net.platform_frontend import PlatformFrontEnd

    audit, begun = PlatformFrontEnd.audit, time.time()

    def hurt(self):
        ready = self.in_flight_attempts and self.open_requests and time.time() > begun + AFTER
        if ready:
            PlatformFrontEnd.audit = audit
            print(
                f"damaged {time.time():.3f} {hurt_tables(self, what)}", file=sys.stderr, flush=True
            )
            self.auditor.run_whole_pass()  # some of it is over before the next pass
        self.event_loop.call_later(500, self.audit) if not ready else audit(self)

    PlatformFrontEnd.audit = hurt


def play(what):
    from corkgauge.testkit.faults.script import read
    from corkgauge.testkit.fleet.day import Day

    day = Day(
        11,
        read(HOLDS, ["e1"]),
        engines=2,
        clients=4,
        rate=60,
        scrapes=10,
        hangs_up=0.05,
        start=(__file__, what),
    )
    try:
        day.run(5.0, drain=2.0)
        log = day.program.log()
    finally:
        day.close()
    print(
        json.dumps(
            {
                "damaged": [line for line in log if line.startswith("damaged")],
                "found": [line for line in log if "figures out of balance" in line],
                "findings": day.cuts[-1]["audit"]["findings"],
                "log": log[-20:],
            }
        )
    )


if __name__ == "__main__":
    if sys.argv[1] == "play":
        play(sys.argv[2])
    else:
        wanted = sys.argv.pop(1)
        (damage_entry if wanted in ENTRIES else damage_tables)(wanted)
        from corkgauge.commands import main

        sys.exit(main())
