"""The helper that writes votes and plans (`leases/record_writer.py`), before a disk that takes a tenth of a second.

Owns the delay alone. Must never be used but in place of that helper, by `undefended.py`.
"""

import os
import sys
import time

WRITE_DELAY_SECONDS = 0.1  # seconds, for each write

if __name__ == "__main__":
    sys.path.insert(
        0,
        os.path.dirname(
            os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
        ),
    )
    from corkgauge.leases import record_writer as store

    write = store.write_file

    def write_slowly(path: str, data: bytes) -> None:
        time.sleep(WRITE_DELAY_SECONDS)
        write(path, data)

    store.write_file = write_slowly
    sys.exit(store.main())
