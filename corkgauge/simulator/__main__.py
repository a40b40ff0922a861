"""Simulator adapter: decodes frames of events, passes each to its instance, writes the actions."""

import sys
import traceback
from typing import Any, BinaryIO

from corkgauge.simulator.host import SimulatedHost
from corkgauge.simulator.messages import (
    MICROSECONDS_PER_TICK,
    READERS,
    EngineEntry,
    EventCode,
    pack_fault,
    read_census,
    read_event_code,
    read_instance,
)
from corkgauge.simulator.protocol import Cursor, ProtocolError, read_frame, write_frame


class SimulatorAdapter:
    """All simulated instances; they share only the numbered lists of engines."""

    def __init__(self) -> None:
        self.hosts: dict[int, SimulatedHost] = {}
        self.engine_lists: dict[int, list[EngineEntry]] = {}
        self.actions: list[bytes] = []

    def handle_record(self, cursor: Cursor, clock: int) -> None:
        """Decode the next event and pass it to its instance; `clock` is in microseconds."""
        code = read_event_code(cursor)
        if code == EventCode.CENSUS:
            number, entries = read_census(cursor)
            self.engine_lists[number] = entries
            return
        instance = read_instance(cursor)
        message = READERS[code](cursor)
        if code == EventCode.BORN:
            self.hosts[instance] = SimulatedHost(instance, self.actions, self.engine_lists)
        elif code == EventCode.DESTROY:
            self.hosts.pop(instance, None)
        host = self.hosts.get(instance)
        if host is not None and message is not None:
            host.now = clock // MICROSECONDS_PER_TICK
            self._dispatch(host, instance, message)

    def _dispatch(self, host: SimulatedHost, instance: int, message: Any) -> None:
        try:
            host.handle(message)
        except Exception as problem:
            # An exception is reported to the simulator, which ends the simulated day; this process
            # continues. The report names the line that failed.
            place = traceback.extract_tb(problem.__traceback__)[-1]
            line = f"{type(problem).__name__}: {problem} ({place.name}:{place.lineno})"
            self.actions.append(pack_fault(instance, line))

    def serve(self, source: BinaryIO, sink: BinaryIO) -> None:
        """Answer frames until the input ends; raise ProtocolError for a malformed frame."""
        while (frame := read_frame(source)) is not None:
            clock, count, number, cursor = frame
            for _ in range(count):
                self.handle_record(cursor, clock)
            if cursor.offset != len(cursor.body):
                left = len(cursor.body) - cursor.offset
                raise ProtocolError(
                    f"{left} bytes left after {count} records, expected the end of the frame"
                )
            write_frame(sink, number, self.actions)
            self.actions.clear()


def main() -> int:
    """Serve the simulator on standard input and output; return the exit code."""
    try:
        SimulatorAdapter().serve(sys.stdin.buffer, sys.stdout.buffer)
    except (ProtocolError, BrokenPipeError) as problem:
        print(f"corkgauge.simulator: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
