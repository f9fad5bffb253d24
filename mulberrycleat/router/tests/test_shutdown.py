"""A router as a real process: graceful shutdown under load, and the end of a failed stream."""

from __future__ import annotations

import json
import tempfile
import threading
import time
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException, IncompleteRead
from pathlib import Path
from urllib.request import Request, urlopen

from mulberrycleat.demo.main import run_operator_command
from mulberrycleat.testing import fixture
from mulberrycleat.testing.fleet import FleetPlan, LocalFleet, local_fleet, write_manifest

CALLERS = 6
ROUTER = "router-zone-a-1"
LOAD_DURATION_S = 1.5
POLL_INTERVAL_S = 0.2


@fixture
def fleet() -> Iterator[LocalFleet]:
    plan = FleetPlan(zones=("zone-a",), services=(), accounts=("dolerite",))
    with tempfile.TemporaryDirectory() as scratch, local_fleet(plan, Path(scratch)) as running:
        run_operator_command(running, "top-up", "dolerite", "200000", "--id", "first")
        manifest = write_manifest(running, Path(scratch) / "manifest.json")
        run_operator_command(running, "publish", str(manifest), "--wait")
        running.wait_until_ready()
        yield running


class ReadinessPoller(threading.Thread):
    """Polls ``/readyz`` of a router, like a load balancer, until the router is not ready."""

    def __init__(self, address: str) -> None:
        super().__init__(daemon=True)
        self._address = address
        self.ready = True

    def run(self) -> None:
        while self.ready:
            time.sleep(POLL_INTERVAL_S)
            connection = HTTPConnection(self._address, timeout=5)
            try:
                connection.request("GET", "/readyz")
                self.ready = connection.getresponse().status == 200
            except OSError:
                self.ready = False
            connection.close()


class KeepAliveCaller(threading.Thread):
    """Sends requests over keep-alive connections until the poller finds the router not ready."""

    def __init__(self, poller: ReadinessPoller, address: str, key: str, max_tokens: int) -> None:
        super().__init__(daemon=True)
        self._poller = poller
        self._address = address
        self._headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        messages = [{"role": "user", "content": "Is the east track open?"}]
        body = {"model": "survey-large", "messages": messages, "stream": True}
        self._body = json.dumps({**body, "max_tokens": max_tokens})
        self.answer_count = 0
        self.faults: list[str] = []

    def run(self) -> None:
        connection = HTTPConnection(self._address, timeout=30)
        while self._poller.ready and not self.faults:
            try:
                connection.connect()
                while self._send_request(connection):
                    pass
            except (OSError, HTTPException) as error:
                self.faults.append(repr(error))
            connection.close()

    def _send_request(self, connection: HTTPConnection) -> bool:
        """Send one request and return whether the connection may be reused."""
        connection.request("POST", "/v1/chat/completions", self._body, self._headers)
        answer = connection.getresponse()
        text = answer.read()
        if answer.status != 200 or not text.endswith(b"data: [DONE]\n\n"):
            self.faults.append(f"{answer.status}: {text[-200:]!r}")
        self.answer_count += 1
        return answer.getheader("connection", "") != "close"


def test_graceful_shutdown_under_load_aborts_no_stream_and_answers_every_request(fleet):
    address = fleet.members[ROUTER].address
    poller = ReadinessPoller(address)
    lengths = [5] * CALLERS + [200]
    callers = [KeepAliveCaller(poller, address, fleet.keys["dolerite"], n) for n in lengths]
    for thread in (poller, *callers):
        thread.start()
    time.sleep(LOAD_DURATION_S)
    process = fleet.terminate(ROUTER)
    for caller in callers:
        caller.join(60)
    assert process.wait(30) == 0, fleet.log_tail(ROUTER)
    faults = [fault for caller in callers for fault in caller.faults]
    assert faults == [], faults
    assert all(caller.answer_count for caller in callers)
    (state,) = run_operator_command(fleet, "status")["hosts"].values()
    assert state["budgets"]["dolerite"]["reserved_here"] == 0


def test_failed_stream_has_an_incomplete_http_body(fleet):
    """Guards against a complete body, which a client that ignores error events would accept."""
    engine = f"http://{fleet.of_kind('engine')[0].address}/faults"
    faults = Request(engine, b'{"truncate_after": 3}', method="PUT")
    with urlopen(faults, timeout=5) as answer:
        assert answer.status == 200
    connection = HTTPConnection(fleet.members[ROUTER].address, timeout=30)
    messages = [{"role": "user", "content": "Is the east track open?"}]
    body = {"model": "survey-large", "messages": messages, "stream": True, "max_tokens": 20}
    headers = {"Authorization": f"Bearer {fleet.keys['dolerite']}"}
    connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
    answer = connection.getresponse()
    try:
        answer.read()
        raise AssertionError("the broken stream had a complete body")
    except IncompleteRead as error:
        text = error.partial
    assert text.count(b"data: {") > 3 and b"event: error" in text and b"[DONE]" not in text
    assert b'"outcome":"may_have_run"' in text
