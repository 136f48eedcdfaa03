"""Exits with 0 if a URL answers with status 200. Usage: python demo/http_get.py URL"""

from __future__ import annotations

import sys
import urllib.error
import urllib.request


def main() -> int:
    """Send one GET request and return the exit code."""
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(sys.argv[1], timeout=1) as resp:
            return 0 if resp.status == 200 else 1
    except (urllib.error.URLError, OSError):
        return 1


if __name__ == "__main__":
    sys.exit(main())
