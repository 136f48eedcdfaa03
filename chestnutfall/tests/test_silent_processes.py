"""Real engines that stop for a second and go on, as on a busy host.

Guards against requests that are given up for a pause: before the first event and after it, for
adapters that may run a request twice and for others.
"""

from __future__ import annotations

import asyncio
import http.client
import json
import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from .process_office import KEYS, ProcessOffice, wait_until

SILENT_MS = 300
PAUSE_S = 1.5
"""Several times `SILENT_MS`; no fault in a sound engine."""
TOKENS = 60
"""At 10 ms each, a run takes twice `SILENT_MS`."""
ENGINES = ("engine-0", "engine-1")


class SilentProcessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.office = ProcessOffice(controllers=1, gateways=1, engines=len(ENGINES))
        self.addCleanup(self.office.stop)
        self.office.start()
        asyncio.run(self._configure())
        wait_until("the other adapter", lambda: self._stream("una-vez@1") == (200, True))

    async def _configure(self) -> None:
        change = {"base": {"services": {"redactor-ia": {"silent_ms": SILENT_MS}}}}
        async with self.office.operator() as session:
            revision, _ = await session.layers()
            await session.change(change, revision, "silence", "silence", False)

    def _stream(self, model: str) -> tuple[int, bool]:
        """Return the status of a streamed answer, and whether it came whole."""
        host, port = self.office.gateways[0].split(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=30)
        body = json.dumps({"model": model, "stream": True, "max_tokens": TOKENS})
        conn.request("POST", "/v1/completions", body, {"Authorization": f"Bearer {KEYS['caller']}"})
        resp = conn.getresponse()
        try:
            data = resp.read()
        except http.client.IncompleteRead as exc:
            data = exc.partial
        finally:
            conn.close()
        return resp.status, data.rstrip().endswith(b"data: [DONE]")

    def test_no_stream_is_lost_to_a_pause_of_all_engines(self) -> None:
        with ThreadPoolExecutor(16) as pool:
            models = ("tejas@1", "una-vez@1") * 2
            begun = [pool.submit(self._stream, model) for model in models]
            time.sleep(0.3)
            for name in ENGINES:
                self.office.signal(name, signal.SIGSTOP)
            waiting = [pool.submit(self._stream, model) for model in models]
            time.sleep(PAUSE_S)
            for name in ENGINES:
                self.office.signal(name, signal.SIGCONT)
            results = [one.result() for one in (*begun, *waiting)]
        self.assertEqual(results, [(200, True)] * len(results))
        self.assertNotIn("reason=broken_off", self.office.log("g0"))
