"""Entry point of `python -m corkgauge`."""

import sys

from corkgauge.commands import main

if __name__ == "__main__":
    sys.exit(main())
