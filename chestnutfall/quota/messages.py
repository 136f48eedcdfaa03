"""Messages about quotas between gateways and the leader."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OrganisationUse:
    """Units that an organisation's requests used; negative if they are given back."""

    organisation: str
    units: float


@dataclass(frozen=True, slots=True)
class UsedQuota:
    """A gateway reports the use that it admitted without asking since its last report."""

    uses: tuple[OrganisationUse, ...]


@dataclass(frozen=True, slots=True)
class WasShort:
    """A gateway reports to a new leader which organisations were short under the previous one."""

    organisations: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AskQuota:
    """A gateway asks whether a request of an organisation that is short may pass.

    Attributes
    ----------
    number : int
        Identifies the question; repeated in its answer.
    """

    number: int
    organisation: str
    units: float


@dataclass(frozen=True, slots=True)
class AnswerQuota:
    """Answers question `number`: whether the request may pass.

    Attributes
    ----------
    retry_after_ms : int
        For a request that may not pass, the time after which it may.
    """

    number: int
    admitted: bool
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class QuotaLevel:
    """How much of an organisation's quota is left.

    Attributes
    ----------
    name : str
        Name of the organisation.
    per_s : float
        Units per second that the quota allows.
    left : float
        Units that may pass at once; negative in debt.
    short : bool
        Whether gateways must ask for each of its requests.
    """

    name: str
    per_s: float
    left: float
    short: bool


@dataclass(frozen=True, slots=True)
class QuotaNews:
    """The leader informs gateways for which organisations they must ask before each request.

    Attributes
    ----------
    whole : bool
        Whether `short` is the complete list; otherwise it and `plenty` are changes.
    short : tuple of str
        Organisations whose requests must be asked for.
    plenty : tuple of str
        Organisations whose requests may pass without asking again.
    """

    whole: bool
    short: tuple[str, ...]
    plenty: tuple[str, ...] = ()
