"""`python -m gingervane.node`: one co-ordinator in the foreground, told of its place by the environment."""

import os
import sys
from pathlib import Path

from gingervane.node.service import run


def main() -> int:
    path = os.environ.get("NODE_CONFIG")
    if not path:
        print("gingervane: NODE_CONFIG names no configuration", file=sys.stderr)
        return 2
    return run(Path(path))


if __name__ == "__main__":
    sys.exit(main())
