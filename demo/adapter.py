"""Creates an adapter with two versions by means of `chestnutfallctl`.

Usage: python demo/adapter.py FOLDER, with the folder that make_office.py wrote.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from make_office import DIGESTS


def main() -> int:
    """Create version 1, then add version 2; return the first exit code that is not 0."""
    folder = Path(sys.argv[1])
    ctl = [str(Path(sys.executable).parent / "chestnutfallctl"), "--settings"]
    ctl.append(str(folder / "operator.json"))
    first = ["adapter", "create", "tejas", "--service", "redactor-ia", "--version", "1"]
    second = ["adapter", "add-version", "tejas", "--version", "2"]
    for version, command in (("1", first), ("2", second)):
        digest = f"sha256:{DIGESTS[version]}"
        done = subprocess.run([*ctl, *command, "--digest", digest, "--wait"], check=False)
        if done.returncode:
            return done.returncode
    return 0


if __name__ == "__main__":
    sys.exit(main())
