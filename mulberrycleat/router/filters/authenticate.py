"""Filter that identifies the client account by the caller's API key."""

from __future__ import annotations

import hashlib
from dataclasses import replace

from result import Err, Result

from mulberrycleat.core import NotRun, Refusal, Served, Step
from mulberrycleat.core.logs import add_log_fields
from mulberrycleat.manifest import Manifest
from mulberrycleat.router.call import Call, Proceed

__all__ = ["AuthenticateFilter"]

_SCHEME = "bearer "


class AuthenticateFilter:
    """Look up a bearer key by its SHA-256 hash; the manifest contains no key in plain text."""

    def __init__(self) -> None:
        self._indexed: Manifest | None = None
        self._keys: dict[str, tuple[str, str]] = {}

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse a request without a known key with status 401."""
        header = call.request.headers.get("authorization", "")
        if not header.lower().startswith(_SCHEME):
            return Err(_unauthorized("the Authorization header carries no bearer key"))
        digest = hashlib.sha256(header[len(_SCHEME) :].strip().encode()).hexdigest()
        found = self._index(call.view.manifest).get(digest)
        if found is None:
            return Err(_unauthorized("the key is not known"))
        account, budget = found
        add_log_fields(account=account)
        return await proceed(replace(call, account=account, budget=budget))

    def _index(self, manifest: Manifest) -> dict[str, tuple[str, str]]:
        if manifest is not self._indexed:
            self._keys = {
                key.sha256: (account.name, key.budget)
                for account in manifest.accounts
                for key in account.keys
            }
            self._indexed = manifest
        return self._keys


def _unauthorized(reason: str) -> NotRun:
    return NotRun(Step.AUTHENTICATE, "", reason, 401, None, "unauthorized")
