"""A gateway on a host that writes down what it is told; the one helper of all tests."""

from corkgauge.control import Gateway
from corkgauge.interface import HONOURED, READY, Engine, Offering, Submission

SECOND = 10_000
QUICK = dict(name="quick", aim=SECOND, stretch=1.0, expiry=5 * SECOND, worth=1.0)
STATED = dict(seed=7, number=1, gateways=2, tick=10, cancels=False, copies=False,
              most_handoffs=4, come_back=0, cold_share=0.3, cold_span=15 * SECOND, fall_multiple=2.0,
              fall_span=SECOND, extra_floor=0.0, extra_share=0.0, extra_span=0, settle=0)


class Yard:
    """Keeps every call in `done` as (what, submission or engine tag, detail)."""

    def __init__(self, offerings=(QUICK,), engines=3, **stated):
        self.now, self.done, self.wakes, self.serial = 100 * SECOND, [], [], 0
        self.offerings = [Offering(**o) for o in offerings]
        self.gateway = Gateway(self, offerings=self.offerings, **{**STATED, **stated})
        self.engines = [Engine(f"e{n}", b"e%d" % n, n % 2, n % 2, n, cores=8.0) for n in range(engines)]
        self.tell(*self.engines)

    def tell(self, *engines, state=READY, started=0):
        for engine in engines:
            self.gateway.engine_told(engine, state, started)
        self.gateway.list_told()

    def take(self, offering=0, **said):
        self.serial += 1
        said = {"tenant": 0, "tables": 1.0, "taken": self.now, "life": 5 * SECOND, "estimate": 2000, **said}
        sub = Submission(f"s{self.serial}", self.offerings[offering], **said)
        self.gateway.submission_taken(sub)
        return sub

    def over(self, handoff, outcome=HONOURED, took=None, finished=None, work=2000):
        took = self.now - handoff.sent if took is None else took
        finished = outcome == HONOURED if finished is None else finished
        self.gateway.handoff_over(handoff, outcome, took, finished, work if finished else 0, 0.0, -1.0)

    def pass_time(self, span):
        """Let time go by, waking the gateway in order."""
        until = self.now + span
        while due := min((w for w in self.wakes if w[0] <= until), key=lambda w: w[:2], default=None):
            self.wakes.remove(due)
            self.now = max(self.now, due[0])
            due[2](*due[3])
        self.now = until

    def said(self, what):
        return [entry[1:] for entry in self.done if entry[0] == what]

    # The host protocol.

    def hand_off(self, handoff, allow):
        self.done.append(("hand_off", handoff.submission.tag, handoff.engine.tag))

    def set_terms(self, submission, memory, priority):
        self.done.append(("terms", submission.tag, priority))

    def dismiss(self, submission, come_back):
        self.done.append(("dismiss", submission.tag, come_back))

    def scrap(self, submission):
        self.done.append(("scrap", submission.tag, None))

    def call_off(self, handoff):
        self.done.append(("call_off", handoff.submission.tag, handoff.number))

    def wake(self, delay, method, *what):
        self.serial += 1
        self.wakes.append((self.now + max(delay, 1), self.serial, method, what))

    def log(self, line):
        self.done.append(("log", line, None))
