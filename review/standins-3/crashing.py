"""Requests of which one part of the prompt crashes each server that begins to answer them."""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass
from pathlib import Path

import lab

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CRASHING_PART = "dead"
CONTACT_S, MAX_LATE, CRASHES = 3.0, 3, 5
KEY, TENANT = "key-1", "mill"


@dataclass(frozen=True)
class Setting:
    """What a case plays.

    Attributes
    ----------
    leading_parts : int
        Parts before the one that crashes servers; all requests share them.
    events_before_crash : int
        Events that a server writes before it crashes.
    resumable : bool
        Whether the route's streams may be resumed; two servers may then be tried.
    crashing_interval_s, sound_interval_s : float
        Time between two requests with the part, and between two others, in seconds.
    """

    leading_parts: int = 3
    events_before_crash: int = 0
    hosts: int = 3
    servers: int = 9
    restart_s: float = 2.0
    resumable: bool = False
    crashing_interval_s: float = 0.4
    sound_interval_s: float = 0.4
    calm_s: float = 8.0
    duration_s: float = 32.0
    events: int = 30
    gap_s: float = 0.04


class Play:
    """The servers' crashes, and the requests with the part that reached servers."""

    def __init__(self, setting: Setting, record: lab.Record) -> None:
        self.setting = setting
        self.record = record
        self.crashes: list[float] = []
        self.reached: list[float] = []
        # Of each sound request: when it was sent, and whether it was served whole.
        self.sound: list[tuple[float, bool]] = []
        self.cut = 0
        self.statuses: dict[tuple[str, int], int] = {}
        self.restarts: list[asyncio.Task[None]] = []

    def prompt(self, part: str, last: str) -> dict[str, str]:
        """Return the headers of a prompt of the shared parts, this part and a last one."""
        shared = [f"a{number:x}" for number in range(self.setting.leading_parts)]
        parts = [*shared, part, last]
        prefix = ",".join(f"{part}:20" for part in parts)
        return {"Model": "m", "Token_Counts": f"{20 * len(parts)},200", "Prompt_Prefix": prefix}

    async def behave(
        self, server: lab.Server, request: lab.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Crash at the begin of the answer to a request with the part."""
        parts = request.headers.get("prompt-prefix", "").split(",")[:-1]
        if CRASHING_PART not in [part.partition(":")[0] for part in parts]:
            return False
        self.reached.append(self.record.now)
        if not TROUBLE:
            return False
        await asyncio.sleep(server.work_s)
        if not server.up:
            return True
        if self.setting.events_before_crash:
            await self._begin(server, request, writer)
        self.record(f"crash {server.id}")
        self.crashes.append(self.record.now)
        server.crash()
        self.restarts.append(asyncio.create_task(self._restart(server)))
        return True

    async def _begin(
        self, server: lab.Server, request: lab.Request, writer: asyncio.StreamWriter
    ) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.id}\r\nResponse-Seal: seal.{server.id}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(first, first + self.setting.events_before_crash):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(server.gap_s)

    async def _restart(self, server: lab.Server) -> None:
        await asyncio.sleep(self.setting.restart_s)
        await server.start()

    @property
    def late(self) -> int:
        """Requests with the part that reached servers too long after the fifth crash."""
        if len(self.crashes) < CRASHES:
            return 0
        bound = self.crashes[CRASHES - 1] + CONTACT_S
        return sum(at > bound for at in self.reached)

    async def send(self, host: lab.Host, part: str, number: int) -> None:
        """Send one request and record its answer."""
        kind = "crashing" if part == CRASHING_PART else "sound"
        name = f"{kind[0]}{number:06x}"
        self.record(f"send {name} to {host.name} part {part}")
        sent_at = self.record.now
        answer = await lab.send_request(
            host.front, "POST", "/ask/x", name, KEY, 4.0, **self.prompt(part, f"f{number:x}")
        )
        self.record(
            f"answer {name} {answer.status} complete {answer.complete} {answer.body[:40]!r}"
            f" {answer.fault}"
        )
        if kind == "sound":
            self.sound.append((sent_at, answer.status == 200 and answer.complete))
            self.cut += answer.status == 502 or (answer.status == 200 and not answer.complete)
        self.statuses[kind, answer.status] = self.statuses.get((kind, answer.status), 0) + 1

    def served(self, since: float, until: float) -> str:
        """Return how many sound requests of a time were served, and of how many."""
        found = [whole for at, whole in self.sound if since <= at < until]
        return f"{sum(found)} of {len(found)}"


async def play(folder: Path, setting: Setting) -> int:
    """Play a setting; return 1 if the rule was broken, 0 if it held, 2 if nothing could run."""
    record = lab.Record(folder)
    fleet = await lab.fleet(setting.hosts, record)
    played = Play(setting, record)
    try:
        attempts = 2 if setting.resumable else 1
        routes = [
            lab.route(
                "ask",
                "streaming",
                "engines",
                max_attempts=attempts,
                stream_resume=setting.resumable,
                timeout_ms=4000,
            )
        ]
        tenants = [{"name": TENANT, "api_keys": [KEY], "priority": 1, "prepaid": 50_000_000}]
        fleet.store.put(
            "keyed.op", "config", lab.config(1, routes, [lab.service("engines", True)], tenants)
        )
        for number in range(setting.servers):
            await fleet.add_server(
                "engines",
                fleet.hosts[number % len(fleet.hosts)].zone,
                events=setting.events,
                gap_s=setting.gap_s,
                behave=played.behave,
            )
        for host in fleet.hosts:
            host.start()
        if not all(await asyncio.gather(*map(lab.ready, fleet.hosts))):
            print("the entry hosts did not become ready")
            return 2
        await asyncio.sleep(4.0)
        number, tasks = 0, []

        async def send_each(interval_s: float, duration_s: float, is_crashing: bool) -> None:
            nonlocal number
            until = record.now + duration_s
            while record.now < until:
                number += 1
                part = CRASHING_PART if is_crashing else f"b{number % 5}"
                host = fleet.hosts[number % len(fleet.hosts)]
                tasks.append(asyncio.create_task(played.send(host, part, number)))
                await asyncio.sleep(interval_s)

        began = record.now
        await send_each(setting.sound_interval_s, setting.calm_s, False)
        calm = played.served(began, record.now)
        troubled_at = record.now
        await asyncio.gather(
            send_each(setting.sound_interval_s, setting.duration_s, False),
            send_each(setting.crashing_interval_s, setting.duration_s, True),
        )
        await asyncio.gather(*tasks)
        text = (
            f"crashes {len(played.crashes)}; requests with the part that reached servers "
            f"{len(played.reached)}, of these later than {CONTACT_S:g} s after crash {CRASHES}: "
            f"{played.late} (at most {MAX_LATE}); sound requests served whole: {calm} before, "
            f"{played.served(troubled_at, record.now)} after; sound requests that were begun and "
            f"lost: {played.cut}; answers {played.statuses}"
        )
        record(text)
        print(text)
        return 1 if TROUBLE and played.late > MAX_LATE else 0
    finally:
        for task in played.restarts:
            task.cancel()
        fleet.end()
