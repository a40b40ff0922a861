"""Runs the helper that writes votes and plans, `leases/record_writer.py`, with a slow disk.

Owns only the delay of each write. Must never be used except by `disabled_safeguards.py`, in place
of that helper.
"""

import os
import sys
import time

WRITE_DELAY_SECONDS = 0.1

if __name__ == "__main__":
    sys.path.insert(
        0,
        os.path.dirname(
            os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
        ),
    )
    from corkgauge.leases import record_writer

    write_file = record_writer.write_file

    def write_slowly(path: str, data: bytes) -> None:
        """Write the file after a delay."""
        time.sleep(WRITE_DELAY_SECONDS)
        write_file(path, data)

    record_writer.write_file = write_slowly
    sys.exit(record_writer.main())
