"""Configuration of an adapter and its versions."""

from __future__ import annotations

from typing import Annotated

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

_STRICT = ConfigDict(extra="forbid")
Digest = Annotated[str, Field(pattern=r"^sha256:[0-9a-f]{64}$")]
VersionName = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,31}$")]
ENGINE_DIGEST_CHARS = 16


@dataclass(frozen=True, config=_STRICT)
class Adapter:
    """Configuration of one LoRA adapter.

    Attributes
    ----------
    service : str
        Name of the engine service that runs it.
    versions : dict of str to str
        Content digest by version; the digest of an accepted version never changes.
    default_version : str or None
        Version for requests that name none; when None, such requests are refused.
    non_idempotent : bool
        Whether its requests must run at most once.
    """

    service: str
    versions: dict[VersionName, Digest]
    default_version: str | None = None
    non_idempotent: bool = False

    def engine_name(self, name: str, version: str) -> str:
        """Return the adapter's name on engines, with version and content digest.

        The digest ensures that only an engine with this content answers under the name.
        """
        digest = self.versions[version].removeprefix("sha256:")
        return f"{name}@{version}+{digest[:ENGINE_DIGEST_CHARS]}"
