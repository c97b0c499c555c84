"""`python -m gingervane.node`: one co-ordinator in the foreground, configured by the file in `NODE_CONFIG`.

SIGHUP ends a process that does not handle it yet. It is held back before the other modules are loaded; the deploy
file has it ignored until then. The configuration is read afterwards, so that an early signal is not missed.
"""

import os
import signal
import sys
from pathlib import Path

_USAGE_ERROR = 2  # exit status


def main() -> int:
    """Run the co-ordinator; return its exit status."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from gingervane.node.service import run  # loading it takes most of the start

    path = os.environ.get("NODE_CONFIG")
    if not path:
        print("gingervane: NODE_CONFIG names no configuration", file=sys.stderr)
        return _USAGE_ERROR
    return run(Path(path))


if __name__ == "__main__":
    sys.exit(main())
