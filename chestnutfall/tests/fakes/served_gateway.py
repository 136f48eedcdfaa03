"""A gateway's server, forwarder and client of upstreams over real connections, in one process."""

from __future__ import annotations

import asyncio
import random
import socket

from aiohttp import web

from ...clock import Clock, SystemClock
from ...control.upstream_record import UpstreamRecord
from ...engine_edge.own_upstream_http import OwnUpstreamHttp
from ...forwarding.admission import Admission
from ...forwarding.forwarder import Forwarder
from ...forwarding.place import Place, SelectionCriteria
from ...forwarding.repeats import Repeats
from ...forwarding.request_ends import RequestEnds
from ...forwarding.sender import Sender
from ...forwarding.upstream_api import UpstreamApi
from ...observability.prometheus_metrics import PrometheusMetrics
from ...platform import header_names as names
from ...platform.entry_server import EntryServer
from ...platform.listening import Listener, listen
from ...platform.upstream_http import UpstreamHttp
from ...quarantine import RequestQuarantine
from ...quota.quota_enforcer import QuotaEnforcer
from ...routes import (
    Document,
    DocumentLimits,
    Route,
    RouteKind,
    RouteTable,
    ServiceSpec,
    WeightedService,
)
from ...rush import ConnectionGate, KeptLimits
from ...settings.quota_bounds import STRICT_QUOTA_BOUNDS
from ...settings.repeat_bounds import RepeatBounds
from .accounts import usual_account, usual_memory
from .fake_upstreams import FixedRoutes, ListedSelector, ScriptedQuotaClient
from .limit_parts import known_signals
from .long_ago import LONG_AGO_MS
from .stream_origins import origins_of_one_build
from .upstream_clients import upstream_client

SERVICE = "s"
WHOLE = b"answer"


class ServedGateway:
    """Serves clients on loopback, and sends their calls to one upstream there.

    Attributes
    ----------
    arrived : list of str
        Ids of the requests that reached the upstream, in order.
    selector : ListedSelector
        Selects the upstream; its `on_select` is called before each send.
    """

    def __init__(self, kind: RouteKind) -> None:
        self.clock: Clock = SystemClock()
        self.metrics = PrometheusMetrics()
        self.arrived: list[str] = []
        self.selector: ListedSelector
        self._kind = kind
        self._upstream: Listener
        self._entry: EntryServer
        self._http: UpstreamHttp | OwnUpstreamHttp
        self._port = 0

    async def start(self) -> None:
        """Listen on free ports."""
        self._upstream = await listen(web.Server(self._on_call), "127.0.0.1:0")
        self._http = upstream_client(is_own=False)
        self.selector = _OneUpstream(f"127.0.0.1:{self._upstream.addresses[0][1]}")
        limits = DocumentLimits()
        count = self.metrics.count
        self._entry = EntryServer(
            self._make_forwarder(self._http, self.selector),
            lambda: True,
            lambda: limits,
            ConnectionGate(self.clock, count),
            KeptLimits(limits.idle_timeout_ms, limits.header_timeout_ms, self.clock, count),
            self.clock,
            RequestEnds(self.clock, self.metrics),
            usual_account(),
        )
        await self._entry.start("127.0.0.1:0", "127.0.0.1:0")
        listener = self._entry._caller_runner
        assert listener is not None
        self._port = listener.address[1]

    def _make_forwarder(self, api: UpstreamApi, selector: ListedSelector) -> Forwarder:
        clock, rng = self.clock, random.Random(1)
        route = Route(
            "r",
            "a.example",
            "/a/",
            self._kind,
            4000,
            500,
            1,
            (WeightedService(SERVICE, 1),),
            2,
            300,
        )
        table = RouteTable(Document(1, (route,), (ServiceSpec(SERVICE, None),), DocumentLimits()))
        signals, origins = known_signals(clock), origins_of_one_build(clock)
        return Forwarder(
            FixedRoutes(table, clock),
            Admission(QuotaEnforcer(ScriptedQuotaClient(), _one, STRICT_QUOTA_BOUNDS, clock, rng)),
            Repeats(RepeatBounds(0.2, 100, 10_000), _one, _borrow_none, clock, rng, LONG_AGO_MS),
            selector,
            selector,
            Sender(api, signals, origins, clock, self.metrics, usual_memory()),
            signals,
            origins,
            RequestQuarantine(lambda report: None, _refuses_none, clock),
            clock,
            self.metrics,
            rng,
        )

    async def stop(self) -> None:
        """Close every connection."""
        await self._entry.stop()
        await self._http.close()
        await self._upstream.cleanup()

    async def _on_call(self, request: web.BaseRequest) -> web.Response:
        request_id = request.headers[names.REQUEST_ID]
        self.arrived.append(request_id)
        return web.Response(headers={names.REQUEST_ID: request_id}, body=WHOLE)

    def connect(self) -> socket.socket:
        """Open a client's connection; the gateway does nothing meanwhile."""
        return socket.create_connection(("127.0.0.1", self._port))

    async def serve(self, clients: list[socket.socket]) -> None:
        """Let each client send a request and have its whole answer."""
        for number, client in enumerate(clients):
            client.setblocking(False)
            client.send(request(f"first-{number}"))
        for client in clients:
            await _read_answer(client)

    def ended(self, how: str) -> int:
        """Return how many requests ended in this way."""
        name = f"chestnutfall_ended_{how}_total "
        lines = self.metrics.text().splitlines()
        return sum(int(line.removeprefix(name)) for line in lines if line.startswith(name))


class _OneUpstream(ListedSelector):
    """Selects one upstream for each send."""

    def __init__(self, address: str) -> None:
        super().__init__()
        self.has_other = False
        self._upstream = UpstreamRecord("i0", SERVICE, address, "dc")

    async def select(self, criteria: SelectionCriteria) -> Place:
        self.on_select()
        return Place(criteria.call.request_id, self._upstream, 0, has_other=self.has_other)


def request(request_id: str) -> bytes:
    """Return the bytes of a client's request."""
    return (
        f"POST /a/x HTTP/1.1\r\nHost: a.example\r\n{names.REQUEST_ID}: {request_id}\r\n"
        "Content-Length: 4\r\n\r\nbody"
    ).encode()


async def _read_answer(client: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    got = b""
    while not got.endswith(WHOLE):
        got += await loop.sock_recv(client, 65_536)


def _one() -> int:
    return 1


async def _borrow_none(service: str) -> bool:
    return False


async def _refuses_none(address: str) -> bool:
    return False
