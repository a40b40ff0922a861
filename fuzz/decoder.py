"""Feeds the decoder of flow records with changed seeds: nothing but `Malformed`, and nothing that grows.

    python fuzz/decoder.py --seconds 60         by hand; a message that breaks it is kept among the seeds

Owns the seeds beside it. The seeds themselves are read by every run of the tests.
"""

import argparse
import sys
import time
from pathlib import Path
from random import Random

SEEDS = Path(__file__).parent / "seeds"
sys.path.insert(0, str(Path(__file__).parent.parent))

from corkgauge.flow_export.decoder import (  # noqa: E402
    Decoder,
    MalformedMessageError,
    MessageStream,
)

EDGES = 0, 1, 2, 3, 4, 9, 10, 16, 127, 128, 255


def load_seeds() -> list[bytes]:
    return [path.read_bytes() for path in sorted(SEEDS.glob("*.bin"))]


def mutate(data: bytes, others: list[bytes], chance: Random) -> bytes:
    """Octets set, pieces cut, doubled or taken from another, often with lengths put right."""
    bad = bytearray(data)
    for _ in range(chance.randint(1, 6)):
        at, what = chance.randrange(len(bad) + 1), chance.randrange(6)
        if what == 0 and at < len(bad):
            bad[at] = chance.choice(EDGES)
        elif what == 1 and at < len(bad):
            bad[at] = chance.randrange(256)
        elif what == 2:
            del bad[at : at + chance.randint(1, 12)]
        elif what == 3:
            bad[at:at] = bad[at : at + chance.randint(1, 40)]
        elif what == 4:
            other = chance.choice(others)
            begin = chance.randrange(len(other))
            bad[at:at] = other[begin : begin + chance.randint(1, 60)]
        elif len(bad) > 20:
            at = chance.randrange(16, len(bad) - 2)
            bad[at : at + 2] = chance.randrange(65_536).to_bytes(2, "big")
    if len(bad) >= 4 and chance.random() < 0.8:
        bad[2:4] = (len(bad) % 65_536).to_bytes(2, "big")
    return bytes(bad)


def is_decodable(decoder: Decoder, data: bytes) -> bool:
    """Was it read? Anything but `Malformed` comes out."""
    try:
        decoder.decode(data)
        return True
    except MalformedMessageError:
        return False


def main() -> int:
    said = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    said.add_argument("--seconds", type=float, default=10.0)
    said.add_argument("--seed", type=int, default=1)
    asked = said.parse_args()
    chance, known, decoder = Random(asked.seed), load_seeds(), Decoder()
    count = read = 0
    until = time.monotonic() + asked.seconds
    while time.monotonic() < until:
        for _ in range(500):
            data = mutate(chance.choice(known), known, chance)
            try:
                read += is_decodable(decoder, data)
                MessageStream().feed(data)
            except MalformedMessageError:
                pass
            except Exception:
                path = SEEDS / f"found-{count}.bin"
                path.write_bytes(data)
                print(f"kept {path}")
                raise
            count += 1
        if (
            len(decoder.templates) > 1000
            or len(decoder.elements) > 1100
            or len(decoder.expected_sequence) > 1001
        ):
            print("it grows")
            return 1
    print(f"{count} messages, {read} of them read, {len(decoder.templates)} templates held")
    return 0


if __name__ == "__main__":
    sys.exit(main())
