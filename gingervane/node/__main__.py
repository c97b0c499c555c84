"""`python -m gingervane.node`: one co-ordinator in the foreground, configured by the file in `NODE_CONFIG`."""

import os
import sys
from pathlib import Path

from gingervane.node.service import run

_USAGE_ERROR = 2  # exit status


def main() -> int:
    """Run the co-ordinator; return its exit status."""
    path = os.environ.get("NODE_CONFIG")
    if not path:
        print("gingervane: NODE_CONFIG names no configuration", file=sys.stderr)
        return _USAGE_ERROR
    return run(Path(path))


if __name__ == "__main__":
    sys.exit(main())
