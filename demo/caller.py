"""Sends requests as a caller, and prints the answers and the spans of one trace.

Usage: python demo/caller.py FOLDER, with the folder that make_office.py wrote.
"""

from __future__ import annotations

import json
import sys
import time
import urllib.request
from pathlib import Path
from typing import Any

from make_office import GATEWAYS

TRACE_WAIT_S = 5.0
"""Gateways write spans some time after a request has ended."""


def _call(key: str, url: str, body: dict[str, Any] | None, **headers: str) -> tuple[str, Any]:
    """Send a POST request, or GET without a body; return the text and headers of the answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data)
    request.add_header("Authorization", f"Bearer {key}")
    for name, value in headers.items():
        request.add_header(name.replace("_", "-"), value)
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    with opener.open(request, timeout=20) as resp:
        return resp.read().decode(), resp.headers


def main() -> int:
    """Ask every gateway for one of two versions, then stream an answer and call a plain service.

    Returns
    -------
    int
        Exit code: 0 if every answer came from the requested version and the trace was written.
    """
    folder = Path(sys.argv[1])
    key = (folder / "keys/caller").read_text(encoding="utf-8").strip()
    messages = [{"role": "user", "content": "Estimate a slate roof of 80 square metres."}]
    for number in range(1, GATEWAYS + 1):
        version = 1 + number % 2
        body = {"model": f"tejas@{version}", "messages": messages, "max_tokens": 8}
        url = f"http://127.0.1.{number}:8080/v1/chat/completions"
        text, _ = _call(key, url, body)
        answer = json.loads(text)
        print(f"gateway {number}: {answer['model']}: {answer['choices'][0]['message']['content']}")
        if not answer["model"].startswith(f"tejas@{version}+"):
            return 1
    streamed, headers = _call(key, url, body | {"stream": True}, Idempotency_Key="demo-1")
    print(streamed.strip())
    if not streamed.rstrip().endswith("data: [DONE]"):
        return 1
    plain, _ = _call(key, "http://127.0.1.1:8080/permisos/planos/7", None)
    print(f"plain service: {plain}")
    return _print_trace(folder / "traces.jsonl", headers["X-Request-Id"])


def _print_trace(path: Path, request_id: str) -> int:
    """Wait for the spans of a request and print them; return 1 if they are not written in time."""
    end = time.monotonic() + TRACE_WAIT_S
    while time.monotonic() < end:
        spans = [json.loads(line) for line in path.read_text("utf-8").splitlines()]
        entry = [s for s in spans if s["attributes"].get("request_id") == request_id]
        if entry:
            trace = [s for s in spans if s["trace_id"] == entry[0]["trace_id"]]
            for span in sorted(trace, key=lambda one: one["start_ns"]):
                ms = (span["end_ns"] - span["start_ns"]) / 1e6
                print(f"trace {span['trace_id'][:8]} {span['name']:<10} {span['host']} {ms:.2f} ms")
            return 0
        time.sleep(0.2)
    print("no trace was written", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
