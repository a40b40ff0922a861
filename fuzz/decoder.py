"""Fuzzes the decoder of flow records with mutated seeds.

    python fuzz/decoder.py --seconds 60

The decoder must raise no exception but MalformedMessageError, and its state must stay bounded. A
message that raises another exception is stored among the seeds. Owns the folder of seeds beside
this file, which the tests decode in each run.
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

BOUNDARY_OCTETS = 0, 1, 2, 3, 4, 9, 10, 16, 127, 128, 255


def load_seeds() -> list[bytes]:
    return [path.read_bytes() for path in sorted(SEEDS.glob("*.bin"))]


def mutate(data: bytes, others: list[bytes], random: Random) -> bytes:
    """Return a copy with random octets changed, and parts removed, repeated or inserted.

    Mostly, the length in the header is corrected afterwards, so that the decoder reads further.
    """
    mutated = bytearray(data)
    for _ in range(random.randint(1, 6)):
        position, mutation = random.randrange(len(mutated) + 1), random.randrange(6)
        if mutation == 0 and position < len(mutated):
            mutated[position] = random.choice(BOUNDARY_OCTETS)
        elif mutation == 1 and position < len(mutated):
            mutated[position] = random.randrange(256)
        elif mutation == 2:
            del mutated[position : position + random.randint(1, 12)]
        elif mutation == 3:
            mutated[position:position] = mutated[position : position + random.randint(1, 40)]
        elif mutation == 4:
            other = random.choice(others)
            start = random.randrange(len(other))
            mutated[position:position] = other[start : start + random.randint(1, 60)]
        elif len(mutated) > 20:
            position = random.randrange(16, len(mutated) - 2)
            mutated[position : position + 2] = random.randrange(65_536).to_bytes(2, "big")
    if len(mutated) >= 4 and random.random() < 0.8:
        mutated[2:4] = (len(mutated) % 65_536).to_bytes(2, "big")
    return bytes(mutated)


def is_decodable(decoder: Decoder, data: bytes) -> bool:
    """Whether a message decodes; exceptions other than MalformedMessageError propagate."""
    try:
        decoder.decode(data)
        return True
    except MalformedMessageError:
        return False


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    random, known_seeds, decoder = Random(options.seed), load_seeds(), Decoder()
    message_count = decoded = 0
    deadline = time.monotonic() + options.seconds
    while time.monotonic() < deadline:
        for _ in range(500):
            data = mutate(random.choice(known_seeds), known_seeds, random)
            try:
                decoded += is_decodable(decoder, data)
                MessageStream().feed(data)
            except MalformedMessageError:
                pass
            except Exception:
                path = SEEDS / f"found-{message_count}.bin"
                path.write_bytes(data)
                print(f"unexpected exception; message stored in {path}")
                raise
            message_count += 1
        if (
            len(decoder.templates) > 1000
            or len(decoder.elements) > 1100
            or len(decoder.expected_sequence) > 1001
        ):
            print("decoder state exceeds its bound: templates, elements or sequence numbers")
            return 1
    print(f"{message_count} messages, {decoded} decoded, {len(decoder.templates)} templates")
    return 0


if __name__ == "__main__":
    sys.exit(main())
