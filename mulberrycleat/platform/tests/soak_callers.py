"""Callers of a soak, which keep their connections and retry as the platform's pages say."""

from __future__ import annotations

from contextlib import suppress
from random import Random

import h11
import trio

from mulberrycleat.platform.tests import soak_checks as checks

# What callers state in `Timeout-Remaining`, and how long they wait in truth.
TIMEOUT_MS = 2500
PATIENCE_S = TIMEOUT_MS / 1000 + 0.5
# The pages allow one second for a new connection.
CONNECTED_WITHIN_S = 1.0
TRIES = 4
# Longest pause between two requests of a caller, in seconds.
PAUSE_S = 0.06
# Longest wait for `Retry-After`, in seconds: a third of what a caller waits.
RETRY_AFTER_S = TIMEOUT_MS / 3000
_NO_RETRY = (400, 401, 404, 413, 431)


class Caller:
    """A caller with one connection to one of the hosts, which it keeps until that ends."""

    def __init__(self, fronts: list[str], journal: checks.Journal, rng: Random) -> None:
        self._fronts, self._journal, self._rng = fronts, journal, rng
        self._front = rng.choice(fronts)
        self._stream: trio.SocketStream | None = None
        self._http = h11.Connection(h11.CLIENT)

    async def call(self, closing: trio.Event) -> None:
        """Send requests until the soak closes."""
        while not closing.is_set():
            await self._ask(self._rng.choice(checks.KINDS))
            await trio.sleep(self._rng.uniform(0, PAUSE_S))
        self._close()

    async def _ask(self, kind: checks.Kind) -> None:
        """Send a request, and retry it as far as its kind allows; each attempt has its own id."""
        first, began_with = 1, ""
        for _ in range(TRIES):
            attempt = checks.Attempt(f"{self._rng.getrandbits(64):016x}", kind, first)
            was_sent = await self._send(attempt, began_with)
            is_served = attempt.is_complete and 200 <= attempt.status < 300
            may_have_run = was_sent and attempt.status not in checks.PROMISES_NOT_RUN
            if is_served or attempt.status in _NO_RETRY or (kind.runs_once and may_have_run):
                return
            if kind.streams and attempt.events:
                first = attempt.events[-1][0] + 1
                began_with = began_with or attempt.request_id
            if first > checks.EVENTS:
                return
            self._close()
            self._front = self._rng.choice(self._fronts)
            if attempt.retry_after_s:
                await trio.sleep(min(attempt.retry_after_s, RETRY_AFTER_S))

    async def _send(self, attempt: checks.Attempt, began_with: str) -> bool:
        """Send an attempt and read its answer; return whether any of it may have been read."""
        if self._stream is None:
            ip, _, port = self._front.rpartition(":")
            with trio.move_on_after(CONNECTED_WITHIN_S), suppress(OSError):
                self._stream = await trio.open_tcp_stream(ip, int(port))
                self._http = h11.Connection(h11.CLIENT)
        if self._stream is None:
            await trio.sleep(PAUSE_S)
            return False
        self._journal.attempts.append(attempt)
        name, kind, end = attempt.request_id, attempt.kind, "complete"
        self._journal.note("send", name, kind.path, attempt.first_event, "to", self._front)
        try:
            with trio.fail_after(PATIENCE_S):
                await self._exchange(attempt, began_with)
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError, trio.TooSlowError) as e:
            end = type(e).__name__
            self._close()
        self._journal.note("answer", name, attempt.status, attempt.seal, len(attempt.body), end)
        return True

    async def _exchange(self, attempt: checks.Attempt, began_with: str) -> None:
        http, stream = self._http, self._stream
        headers = [
            ("Host", "a.example"), ("Attempt-Id", attempt.request_id), ("Content-Length", "4"),
            ("Timeout-Remaining", str(TIMEOUT_MS)),
        ]  # fmt: skip
        if attempt.kind.streams:
            headers += [("Model", "m"), ("Token-Counts", f"60,{checks.EVENTS}")]
            headers.append(("Prompt-Prefix", f"{attempt.request_id[-8:]}:60"))
        if attempt.first_event > 1:
            headers += [("Last-Event-Id", str(attempt.first_event - 1)), ("Resumes", began_with)]
        request = h11.Request(method="POST", target=attempt.kind.path, headers=headers)
        events = (request, h11.Data(data=b"body"), h11.EndOfMessage())
        await stream.send_all(b"".join(http.send(event) for event in events))
        while not attempt.is_complete:
            match http.next_event():
                case h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(65_536))
                case h11.Response() as response:
                    attempt.status = response.status_code
                    found = {name.decode(): value.decode() for name, value in response.headers}
                    attempt.seal = found.get("response-seal", "")
                    with suppress(ValueError):
                        attempt.retry_after_s = float(found.get("retry-after", "0"))
                case h11.Data() as data:
                    attempt.body += bytes(data.data)
                case h11.EndOfMessage():
                    attempt.is_complete = True
                case h11.ConnectionClosed():
                    raise trio.BrokenResourceError
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            attempt.unasked = http.trailing_data[0]
            http.start_next_cycle()
        else:
            self._close()

    def _close(self) -> None:
        if self._stream is not None:
            self._stream.socket.close()
            self._stream = None
