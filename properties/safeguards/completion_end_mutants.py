"""Mutants of the safeguards of the ends of callers' requests with the OpenAI API."""

from __future__ import annotations

from ..mutant import Mutant

_ENDING = "chestnutfall/caller_edge/request_ends.py"
_DISPATCHER = "chestnutfall/routing/dispatcher.py"
_ATTEMPTS = "chestnutfall/routing/attempts.py"
_FAULTS_TEST = "chestnutfall.tests.test_request_faults"
_ERRORS_TEST = "chestnutfall.tests.test_completion_errors"
_ENDS_TEST = "chestnutfall.tests.test_completion_ends"

COMPLETION_END_MUTANTS = (
    Mutant(
        "caller blamed for the error of another connection",
        _ENDING,
        "asyncio.CancelledError() if is_closed_by_peer(request.transport):",
        "asyncio.CancelledError():",
        _ENDS_TEST,
    ),
    Mutant(
        "unexpected error ends without a refusal",
        _ENDING,
        "                refusal = _internal_refusal(progress.executed)",
        "                raise end.error",
        _ENDS_TEST,
    ),
    Mutant(
        "unexpected error says not run of what may have run",
        _ENDING,
        "    not_run = executed is Executed.NO",
        "    not_run = True",
        _ENDS_TEST,
    ),
    Mutant(
        "broken stream ends as a whole one",
        _ENDING,
        "            transport.close()\n",
        "            await stream.write_eof()\n",
        _ENDS_TEST,
    ),
    Mutant(
        "request held by a caller that reads no end of its stream",
        _ENDING,
        "            await self._clock.within_ms(READ_WITHIN_MS, stream.write(event))",
        "            await stream.write(event)",
        _ENDS_TEST,
    ),
    Mutant(
        "connection held by a caller that reads nothing",
        _ENDING,
        "call_later(READ_WITHIN_MS / 1000, transport.abort)",
        "call_later(READ_WITHIN_MS / 1000, transport.close)",
        _ENDS_TEST,
    ),
    Mutant(
        "status of a request that did not run for one that may have",
        _DISPATCHER,
        "    status = 502 if refusal.status in NOT_RUN_STATUSES else refusal.status",
        "    status = refusal.status",
        _FAULTS_TEST,
    ),
    Mutant(
        "status of a request that may have run for one that did not",
        _DISPATCHER,
        "            status = 503 if executed is Executed.NO else 502",
        "            status = 502",
        _FAULTS_TEST,
    ),
    Mutant(
        "error before the send taken for one after it",
        _ATTEMPTS,
        "                raise EngineRefused(INTERNAL_ERROR, NOT_SENT) from exc",
        "                raise EngineBroken(INTERNAL_ERROR, NOT_SENT) from exc",
        _ERRORS_TEST,
    ),
    Mutant(
        "cancelled future ends the request that waits for it",
        _ATTEMPTS,
        "    cancelled = isinstance(exc, asyncio.CancelledError) and was_cancelled()",
        "    cancelled = isinstance(exc, asyncio.CancelledError)",
        _ERRORS_TEST,
    ),
    Mutant(
        "claim left behind by an unexpected error",
        "chestnutfall/routing/claim_client.py",
        "        except (Exception, asyncio.CancelledError) as exc:\n            # The claim",
        "        except (NoController, asyncio.CancelledError) as exc:\n            # The claim",
        _ERRORS_TEST,
    ),
    Mutant(
        "plain call not repeated after an error of the gateway",
        "chestnutfall/plain_edge/plain_calls.py",
        '            raise CallFailed("a part of the gateway failed") from exc',
        "            raise",
        _ERRORS_TEST,
    ),
    Mutant(
        "plain call that no helper gets for the type of its headers",
        "chestnutfall/plain_edge/plain_calls.py",
        "        str(name): value for name",
        "        name: value for name",
        "chestnutfall.tests.test_helped_silence",
    ),
    Mutant(
        "completion fails when its caller has gone meanwhile",
        "chestnutfall/caller_edge/request_parser.py",
        "        raise unknown_key()",
        "        raise KeyError(caller_name)",
        "chestnutfall.tests.test_completion_config",
    ),
    Mutant(
        "plain call fails when its caller has gone meanwhile",
        "chestnutfall/plain_edge/plain_proxy.py",
        "            raise unknown_key()",
        "            raise KeyError(caller_name)",
        "chestnutfall.tests.test_completion_config",
    ),
    Mutant(
        "whole answer broken off by what comes after it",
        "chestnutfall/routing/after_answer.py",
        "    except Exception as exc:",
        "    except NotImplementedError as exc:",
        _ERRORS_TEST,
    ),
)
