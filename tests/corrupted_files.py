"""Runs the program with one injected accounting fault, for tests only.

The program itself has no such command.

python tests/corrupted_files.py FAULT serve ...   the program, with the fault injected once, 1.5 s
                                                  after the start
python tests/corrupted_files.py play FAULT        a short day with that program; prints the findings
                                                  as JSON
"""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

FAULT_DELAY_SECONDS = 1.5  # from the start of the program
# An engine that is silent for 2 s keeps requests open for longer than a pass of the auditor.
SILENT_ENGINE_SCRIPT = "at 1 for 2: e1 silent"


def skip_call(method):
    return lambda self, *arguments: None


def repeat_call(method):
    def call_twice(self, *arguments):
        method(self, *arguments)
        method(self, *arguments)

    return call_twice


# By fault: method of the ledger, change of the method, kind of discrepancy that the auditor must
# report, kind of its row.
CALL_FAULTS = {
    "taken skipped": ("record_accepted", skip_call, "never entered", "offering"),
    "taken doubled": ("record_accepted", repeat_call, "entered twice", "offering"),
    "closed skipped": ("record_closed", skip_call, "never closed", "offering"),
    "closed doubled": ("record_closed", repeat_call, "closed twice", "offering"),
    "handed off skipped": ("record_attempt_sent", skip_call, "hand-off never entered", "engine"),
    "handed off doubled": (
        "record_attempt_sent",
        repeat_call,
        "hand-off entered twice",
        "engine",
    ),
    "handoff over skipped": (
        "record_attempt_finished",
        skip_call,
        "hand-off never closed",
        "engine",
    ),
    "handoff over doubled": (
        "record_attempt_finished",
        repeat_call,
        "hand-off closed twice",
        "engine",
    ),
    "connection up skipped": (
        "record_connection_opened",
        skip_call,
        "books differ",
        "client connections",
    ),
    "connection over doubled": (
        "record_connection_closed",
        repeat_call,
        "books differ",
        "client connections",
    ),
}


def corrupt_record(socket_host, fault):
    """Change a record or a count; return the name of the row that the auditor must report."""
    ledger = socket_host.ledger
    rows = [*ledger.request_classes.values()]
    if fault == "name lost":
        request = max(
            socket_host.open_requests.values(),
            key=lambda request: request.accepted_at + request.time_to_deadline,
        )
        del socket_host.open_requests[request.host_reference.name]
        return request.request_class.name
    if fault == "errand lost":
        in_flight_attempt = socket_host.in_flight_attempts.pop(
            next(iter(socket_host.in_flight_attempts))
        )
        return in_flight_attempt.engine_row.name
    if fault == "cancelling":  # a difference of one in a million that cancels out in the totals
        rows[0].terms[0] += 1
        rows[0].open += 1
        rows[1].terms[0] -= 1
        rows[1].open -= 1
        return rows[0].name
    if fault == "swapped":  # cancels out even in the count of the row; only the serials differ
        rows[0].open_serial_sum += 1
        return rows[0].name
    if fault == "term altered":
        rows[0].terms[1] += 1
        return rows[0].name
    if fault == "reason altered":
        rows[1].reasons[0] += 1
        return rows[1].name
    if fault == "sort altered":
        rows[0].sent_by_kind[1] += 1
        return "further"
    engine_pool = next(iter(socket_host.engine_pools.values()))
    if fault == "threads lost":
        engine_pool.engine.threads_in_flight += 1
        return engine_pool.engine.name
    if fault == "page lost":
        engine_pool.row.pages -= 1
        return "pages"
    raise SystemExit(f"unknown fault {fault!r}")


# By fault: kind of discrepancy that the auditor must report.
RECORD_FAULTS = {
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
ALL_FAULTS = [*CALL_FAULTS, *RECORD_FAULTS]


def inject_call_fault(fault):
    """Change the method of the ledger for one call; later calls work as usual."""
    from corkgauge.accounting.ledger import RequestLedger

    name, change, _, _ = CALL_FAULTS[fault]
    method, started_at = getattr(RequestLedger, name), time.time()
    faulty_method = change(method)

    def call_with_fault(self, *args):
        if time.time() < started_at + FAULT_DELAY_SECONDS or (
            name.startswith("record_connection") and args[0] != 0
        ):
            return method(self, *args)
        setattr(RequestLedger, name, method)
        row = getattr(args[0], "engine_row", None) or getattr(args[0], "row", None)
        print(
            f"damaged {time.time():.3f} {row.name if row else 'client connections'}",
            file=sys.stderr,
            flush=True,
        )
        return faulty_method(self, *args)

    setattr(RequestLedger, name, call_with_fault)


def inject_record_fault(fault):
    """Replace the audit of the front end until the fault is injected before one of its passes."""
    from corkgauge.net.platform_frontend import PlatformFrontEnd

    audit, started_at = PlatformFrontEnd.audit, time.time()

    def audit_with_fault(self):
        ready = (
            self.in_flight_attempts
            and self.open_requests
            and time.time() > started_at + FAULT_DELAY_SECONDS
        )
        if ready:
            PlatformFrontEnd.audit = audit
            print(
                f"damaged {time.time():.3f} {corrupt_record(self, fault)}",
                file=sys.stderr,
                flush=True,
            )
            self.auditor.run_whole_pass()  # some requests would end before the next pass
        self.event_loop.call_later(500, self.audit) if not ready else audit(self)

    PlatformFrontEnd.audit = audit_with_fault


def play(fault):
    from corkgauge.testkit.faults.script import parse_script
    from corkgauge.testkit.fleet.day import GatewayScenario

    day = GatewayScenario(
        11,
        parse_script(SILENT_ENGINE_SCRIPT, ["e1"]),
        engines=2,
        clients=4,
        rate=60,
        scrapes=10,
        hangs_up=0.05,
        start=(__file__, fault),
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
                "findings": day.snapshots[-1]["audit"]["findings"],
                "log": log[-20:],
            }
        )
    )


if __name__ == "__main__":
    if sys.argv[1] == "play":
        play(sys.argv[2])
    else:
        fault = sys.argv.pop(1)
        (inject_call_fault if fault in CALL_FAULTS else inject_record_fault)(fault)
        from corkgauge.commands import main

        sys.exit(main())
