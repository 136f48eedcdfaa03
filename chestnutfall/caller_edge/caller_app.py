"""HTTP application that serves callers of a gateway."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager, contextmanager

from aiohttp import web
from opentelemetry import trace
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from ..accounts import AccountFull, ProcessAccount
from ..clock import Clock
from ..config.typed_config import TypedConfig
from ..membership import GatewayAgent
from ..observability.metrics import Metrics
from ..plain_edge import PlainProxy
from ..requests import CallerRequest, Executed, Refusal, digest_of, unknown_key
from ..routing import ClaimClient, ClaimRequest, Dispatcher
from ..wire.bounded_connection import FULL, FULL_RETRY_MS, BoundedConnection
from ..wire.request_body import read_body
from .answer_stream import stream_answer
from .caller_limits import CallerLimits
from .request_ends import RequestEnds
from .request_parser import parse_request
from .request_progress import RequestProgress

MAX_BODY_BYTES = 2 * 1024 * 1024
BODY_TIMEOUT_MS = 5000
_PROPAGATOR = TraceContextTextMapPropagator()


class CallerApp:
    """Authenticates callers, admits their requests and answers them.

    Requests under the API paths go to an engine, and every other path to a plain service.

    Attributes
    ----------
    ready : bool
        Whether `/readyz` may answer 200; it also needs a configuration in force. Set to False at
        the beginning of a graceful stop, so that load balancers send no new connections.
    refusing : bool
        Whether new requests are refused with 503; the second step of a graceful stop.
    in_progress : int
        Admitted requests that are not answered yet.
    """

    def __init__(
        self,
        agent: GatewayAgent,
        dispatcher: Dispatcher,
        claims: ClaimClient,
        plain: PlainProxy,
        limits: CallerLimits,
        clock: Clock,
        metrics: Metrics,
        tracer: trace.Tracer,
        account: ProcessAccount,
    ) -> None:
        self._agent = agent
        self._dispatcher = dispatcher
        self._claims = claims
        self._plain = plain
        self._limits = limits
        self._clock = clock
        self._ends = RequestEnds(clock, metrics)
        self._tracer = tracer
        self._account = account
        self.ready = True
        self.refusing = False
        self.in_progress = 0

    def build(self) -> web.Application:
        """Return the aiohttp application with the routes of all endpoints."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/v1/models", self._models)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_route("*", "/{tail:.*}", self._call_plain_service)
        return app

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _readyz(self, request: web.Request) -> web.Response:
        ready = self.ready and self._agent.is_config_confirmed()
        body = {"ready": ready, "revision": self._agent.revision}
        return web.json_response(body, status=200 if ready else 503)

    async def _models(self, request: web.Request) -> web.StreamResponse:
        async def work(progress: RequestProgress) -> web.StreamResponse:
            cfg = self._agent.config
            name = self._authenticate(request, progress)
            return web.json_response({"object": "list", "data": _models_of(cfg, name)})

        return await self._ends.serve(request, work)

    async def _call_plain_service(self, request: web.Request) -> web.StreamResponse:
        async def work(progress: RequestProgress) -> web.StreamResponse:
            caller = self._authenticate(request, progress)
            async with self._admitted(caller):
                body = await self._read_body(request)
                with self._sent_on():
                    progress.executed = Executed.UNKNOWN
                    return _held(request, await self._plain.answer(request, caller, body))

        return await self._ends.serve(request, work)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        span = self._tracer.start_span("entry", context=_PROPAGATOR.extract(request.headers))
        try:
            return await self._ends.serve(
                request, lambda progress: self._complete_in_span(request, progress, span)
            )
        finally:
            span.end()

    async def _complete_in_span(
        self, request: web.Request, progress: RequestProgress, span: trace.Span
    ) -> web.StreamResponse:
        headers: dict[str, str] = {}
        _PROPAGATOR.inject(headers, trace.set_span_in_context(span))
        try:
            caller = self._authenticate(request, progress)
            async with self._admitted(caller):
                body = await self._read_body(request)
                req = parse_request(
                    self._agent.config,
                    caller,
                    request.path,
                    request.headers,
                    body,
                    self._clock.now_ms(),
                    headers,
                )
                progress.request_id = req.request_id
                span.set_attribute("model", req.model)
                span.set_attribute("request_id", req.request_id)
                with self._sent_on():
                    return await self._answer_with_claim(request, req, progress)
        except Refusal as refusal:
            span.set_attribute("refused", refusal.code)
            raise

    # Admission

    def _authenticate(self, request: web.Request, progress: RequestProgress) -> str:
        if self.refusing:
            raise Refusal(503, "draining", "this host is shutting down", retry_after_ms=1000)
        # A gateway that is cut off from the controllers may act on a grant that was revoked, so it
        # refuses once its configuration lease has ended. Until then it keeps serving, and an
        # election of a new leader goes unnoticed by callers.
        if not self._agent.is_config_confirmed():
            message = "the configuration in force can't be confirmed"
            raise Refusal(503, "configuration_unconfirmed", message, retry_after_ms=1000)
        kind, _, key = request.headers.get("Authorization", "").partition(" ")
        caller = self._agent.config.caller_by_key(key.strip()) if kind == "Bearer" else None
        if caller is None:
            raise unknown_key()
        progress.caller = caller
        return caller

    @asynccontextmanager
    async def _admitted(self, caller: str) -> AsyncIterator[None]:
        async with self._limits.admitted(caller, self._agent.config.callers[caller]):
            self.in_progress += 1
            try:
                yield
            finally:
                self.in_progress -= 1

    async def _read_body(self, request: web.Request) -> bytes:
        try:
            # Without a timeout, a body that trickles in would count as a request in progress for
            # ever.
            reading = read_body(request, MAX_BODY_BYTES)
            body = await self._clock.within_ms(BODY_TIMEOUT_MS, reading)
        except AccountFull as exc:
            raise _full(exc) from exc
        except TimeoutError as exc:
            raise Refusal(
                408, "body_too_slow", f"no whole body within {BODY_TIMEOUT_MS} ms"
            ) from exc
        if body is None:
            raise Refusal(413, "body_too_large", f"at most {MAX_BODY_BYTES} bytes")
        return body

    @contextmanager
    def _sent_on(self) -> Iterator[None]:
        """Count a request that is sent to an upstream while the context lasts."""
        with ExitStack() as stack:
            try:
                stack.enter_context(self._account.call())
            except AccountFull as exc:
                raise _full(exc) from exc
            yield

    # Answers

    async def _answer_with_claim(
        self, request: web.Request, req: CallerRequest, progress: RequestProgress
    ) -> web.StreamResponse:
        if not req.claim_key:
            return await self._answer(request, req, progress)
        wanted = ClaimRequest(
            req.caller,
            req.claim_key,
            digest_of(req.path, req.body),
            req.request_id,
            self._agent.config.limits.claim_retention_ms,
        )
        async with AsyncExitStack() as stack:
            with self._tracer.start_span("claim", context=_PROPAGATOR.extract(req.trace)):
                await stack.enter_async_context(self._claims.held(wanted))
            return await self._answer(request, req, progress)

    async def _answer(
        self, request: web.Request, req: CallerRequest, progress: RequestProgress
    ) -> web.StreamResponse:
        progress.executed = Executed.UNKNOWN
        batches = self._dispatcher.answer(req)
        try:
            first = await anext(batches)
            progress.executed = Executed.YES
            if req.stream:
                return await stream_answer(request, progress, first, batches)
            response = web.Response(
                body=first[0].data,
                content_type="application/json",
                headers={"X-Request-Id": req.request_id, "X-Executed": "yes"},
            )
            return _held(request, response)
        finally:
            await batches.aclose()


def _full(exc: AccountFull) -> Refusal:
    return Refusal(503, FULL, str(exc), retry_after_ms=FULL_RETRY_MS)


def _held(request: web.Request, response: web.Response) -> web.Response:
    """Return an answer, which is held until its caller has read it."""
    conn = request.protocol
    assert isinstance(conn, BoundedConnection)
    conn.hold_answer(len(response.body) if isinstance(response.body, bytes) else 0)
    return response


def _models_of(cfg: TypedConfig, name: str) -> list[dict[str, str]]:
    caller = cfg.callers[name]
    return [
        {"id": f"{adapter_name}@{version}", "object": "model", "owned_by": adapter.service}
        for adapter_name, adapter in sorted(cfg.adapters.items())
        if caller.may_use_adapter(adapter_name)
        for version in adapter.versions
    ]
