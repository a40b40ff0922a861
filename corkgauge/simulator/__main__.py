"""Reads frames of events, hands each record to its instance's door, writes one reply a frame."""

import sys
import traceback
from struct import Struct, pack
from typing import BinaryIO

from corkgauge.simulator.host import SimulatedHost
from corkgauge.simulator.protocol import Cursor, ProtocolError, read_frame, write_frame

CODE, INSTANCE, COUNT16, COUNT32 = Struct("<B"), Struct("<I"), Struct("<H"), Struct("<I")
BORN, UPDATE, DEMAND = Struct("<Q"), Struct("<BIH"), Struct("<QfHfHIIQI")
REQUEST, VERDICT, LOADS = Struct("<Q"), Struct("<QH6sBIBI"), Struct("<B")
PROBED, OPENED, NOTE = Struct("<6sBI"), Struct("<QH6sI"), Struct("<QH6sBf")
CENSUS, ENTRY = Struct("<H"), Struct("<6sHHHBfQ")


def load_of(cursor: Cursor) -> tuple:
    (count,) = cursor.take(LOADS)
    return cursor.take(Struct(f"<{count}f"))


class SimulatorAdapter:
    """All instances of this process; they share nothing but the numbered lists."""

    def __init__(self) -> None:
        self.doors: dict[int, SimulatedHost] = {}
        self.lists: dict[int, list[tuple]] = {}
        self.actions: list[bytes] = []

    def record(self, cursor: Cursor, now: int) -> None:
        """One event: decode it and call what it means."""
        (code,) = cursor.take(CODE)
        if code == 120:
            (number,) = cursor.take(CENSUS)
            (count,) = cursor.take(COUNT32)
            run = cursor.run(count * ENTRY.size)
            self.lists[number] = list(ENTRY.iter_unpack(run))
            return
        if code not in (10, 20, 30, 40, 50, 60, 70, 80, 90, 100, 110):
            raise ProtocolError(f"unknown record code {code}")
        (instance,) = cursor.take(INSTANCE)
        if code == 10:
            (seed,) = cursor.take(BORN)
            fields = seed, cursor.run(cursor.take(COUNT32)[0])
            self.doors[instance] = SimulatedHost(instance, self.actions)
        elif code == 20:
            form, _, number = cursor.take(UPDATE)
            fields = form, [] if form == 4 else self.lists.get(number, [])
        elif code == 30:
            fields = cursor.take(DEMAND)
        elif code == 50:
            tag, number, _, reason, took, terminal, stats = cursor.take(VERDICT)
            fields = tag, number, reason, took, bool(terminal), stats, load_of(cursor)
        elif code == 80:
            cursor.take(PROBED)  # no probe is sent
            load_of(cursor)
            return
        elif code == 110:
            tag, number, _, sort, value = cursor.take(NOTE)
            fields = tag, number, sort, value
        elif code == 90:
            cursor.take(CENSUS)
            cursor.run(cursor.take(COUNT16)[0])
            return
        elif code == 40:
            cursor.take(OPENED)
            return
        elif code == 100:
            self.doors.pop(instance, None)
            return
        else:
            fields = cursor.take(REQUEST)
        door = self.doors.get(instance)
        if door is None:
            return
        door.now = now // 100
        call = {
            10: door.born,
            20: door.update,
            30: door.demand,
            50: door.verdict,
            60: door.dropped,
            70: door.deadline_hit,
            110: door.update_of,
        }[code]
        try:
            call(*fields)
        except (
            Exception
        ) as problem:  # a broken decision ends the day with its place, not the process
            last = traceback.extract_tb(problem.__traceback__)[-1]
            text = f"{type(problem).__name__}: {problem} ({last.name}:{last.lineno})".encode()[:500]
            self.actions.append(pack("<BIH", 70, instance, len(text)) + text)

    def serve(self, source: BinaryIO, sink: BinaryIO) -> None:
        """Answer frames until the input ends."""
        while (frame := read_frame(source)) is not None:
            clock, count, number, cursor = frame
            for _ in range(count):
                self.record(cursor, clock)
            if cursor.at != len(cursor.body):
                raise ProtocolError(
                    f"{len(cursor.body) - cursor.at} bytes left over after {count} records"
                )
            write_frame(sink, number, self.actions)
            self.actions.clear()


def main() -> int:
    try:
        SimulatorAdapter().serve(sys.stdin.buffer, sys.stdout.buffer)
    except (ProtocolError, BrokenPipeError) as problem:
        print(f"corkgauge.simulator: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
