"""Parses and checks a caller's HTTP request."""

from __future__ import annotations

import json
import uuid
from collections.abc import Mapping
from typing import Any

from ..config.adapter import Adapter
from ..config.caller import Caller
from ..config.priority_class import PriorityClass
from ..config.typed_config import TypedConfig
from ..findings.json_document import read_json_text
from ..requests import CallerRequest, Refusal, unknown_key
from .field_types import check_field_types

MAX_KEY_CHARS = 255


def parse_request(
    cfg: TypedConfig,
    caller_name: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    now_ms: int,
    trace: dict[str, str],
) -> CallerRequest:
    """Check `body` and `headers` against the configuration.

    Parameters
    ----------
    now_ms : int
        Present clock time; the deadline counts from it.
    trace : dict
        W3C trace context headers, passed on to the engine.

    Returns
    -------
    CallerRequest
        The request with a new id, the full engine name of its model, and its deadline.

    Raises
    ------
    Refusal
        400, 403 or 404 when anything is malformed, unknown or not granted to the caller.
    """
    # The caller was known when the request's head was read, and may have gone since.
    caller = cfg.callers.get(caller_name)
    if caller is None:
        raise unknown_key()
    fields = _parse_fields(body)
    adapter_name, version = _adapter_and_version(cfg, caller, fields.get("model"))
    adapter = cfg.adapters[adapter_name]
    model = adapter.engine_name(adapter_name, version)
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        raise Refusal(400, "bad_request", "`stream` must be true or false")
    check_field_types(path, fields)
    claim_key = headers.get("Idempotency-Key", "")
    if len(claim_key) > MAX_KEY_CHARS:
        raise Refusal(400, "bad_idempotency_key", f"at most {MAX_KEY_CHARS} characters")
    non_idempotent = _non_idempotent(adapter, headers, claim_key)
    service = cfg.services[adapter.service]
    if non_idempotent and not claim_key and service.key_required:
        raise Refusal(400, "idempotency_key_required", "this adapter needs an Idempotency-Key")
    return CallerRequest(
        uuid.uuid4().hex,
        caller_name,
        adapter.service,
        path,
        model,
        json.dumps({**fields, "model": model}).encode(),
        stream,
        _priority(headers, caller),
        non_idempotent,
        claim_key,
        now_ms + _timeout_ms(headers, cfg.limits.request_ms),
        service.silent_ms,
        trace,
    )


def _parse_fields(body: bytes) -> dict[str, Any]:
    parsed = read_json_text(body, "body")
    if parsed.is_error():
        raise Refusal(400, "bad_json", "; ".join(str(finding) for finding in parsed.error))
    if not isinstance(parsed.ok, dict):
        raise Refusal(400, "bad_request", "the body must be a JSON object")
    return parsed.ok


def _adapter_and_version(cfg: TypedConfig, caller: Caller, model: Any) -> tuple[str, str]:
    if not isinstance(model, str) or not model:
        raise Refusal(400, "bad_request", "`model` must be a string like adapter@version")
    name, _, version = model.partition("@")
    # An adapter that is not granted gets the same answer as one that does not exist, so that
    # callers cannot probe for names.
    adapter = cfg.adapters.get(name)
    if adapter is None or not caller.may_use_adapter(name):
        raise Refusal(404, "model_not_found", f"no model {model!r} for this caller")
    if not version and adapter.default_version is None:
        message = f"{name!r} names no version; use one of {_model_names(name, adapter)}"
        raise Refusal(400, "version_required", message)
    version = version or str(adapter.default_version)
    version, _, digest = version.partition("+")
    if version not in adapter.versions:
        message = f"no version {version!r}; there are {_model_names(name, adapter)}"
        raise Refusal(404, "model_not_found", message)
    if digest and adapter.engine_name(name, version) != model:
        raise Refusal(404, "model_not_found", f"{name}@{version} has another content digest")
    return name, version


def _model_names(name: str, adapter: Adapter) -> list[str]:
    return [f"{name}@{version}" for version in adapter.versions]


def _non_idempotent(adapter: Adapter, headers: Mapping[str, str], claim_key: str) -> bool:
    marked = headers.get("X-Non-Idempotent", "").lower() == "true"
    return adapter.non_idempotent or marked or bool(claim_key)


def _priority(headers: Mapping[str, str], caller: Caller) -> PriorityClass:
    asked = headers.get("X-Priority")
    if asked is None:
        return caller.highest_class
    try:
        wanted = PriorityClass(asked)
    except ValueError as exc:
        allowed = [kind.value for kind in PriorityClass]
        raise Refusal(400, "bad_priority", f"{asked!r} is none of {allowed}") from exc
    if wanted.rank < caller.highest_class.rank:
        raise Refusal(403, "priority_forbidden", f"at most {caller.highest_class.value}")
    return wanted


def _timeout_ms(headers: Mapping[str, str], max_ms: int) -> int:
    asked = headers.get("X-Timeout-Ms")
    if asked is None:
        return max_ms
    if not asked.isdigit() or not 0 < int(asked) <= max_ms:
        raise Refusal(400, "bad_timeout", f"X-Timeout-Ms must be 1 to {max_ms}")
    return int(asked)
