"""A host is killed as the first server with new software joins its service.

Streams of a third of a second run at three hosts. The first server of another software version
joins the service, as a release begins, and 0.05 s later one host is killed. Its clients take
their streams up at the other two hosts, which are undisturbed, and once more after
``Retry-After``. Without the trouble, the release begins and no host is killed. With
``RELEASE=0``, a host is killed and no release begins.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab"))
from lab import Host, Lab, config, new_id, request, route, run_case

EVENTS, EVENT_S, TOKENS_IN = 6, 0.05, 100
# Streams a second that begin at the host that is killed, and at each of the others.
RATE, OTHER_RATE = 60.0, 10.0
BEFORE_S, KILL_AFTER_S, AFTER_S = 6.0, 0.05, 5.0
# LOST: 12 or more streams that are taken up; their share that goes on is under half of the share of
# new streams that begin.
MIN_STREAMS, SHARE = 12, 0.5
TAKE_UPS = 2


def event_ids(body: bytes) -> list[int]:
    """Return the ids of the complete events."""
    blocks = body.split(b"\n\n")[:-1]
    return [int(block.split(b"\n")[0].split(b": ")[1]) for block in blocks]


def versions(body: bytes) -> set[bytes]:
    """Return the software versions that wrote the complete events."""
    return {block.split(b"\ndata: ")[1].split(b" ")[0] for block in body.split(b"\n\n")[:-1]}


async def main(case: Path, trouble: bool, holder: list[Lab]) -> int:
    """Return 1 if the streams that are taken up go on less than half as often as new ones begin."""
    releases = os.environ.get("RELEASE", "1") != "0"
    lab = Lab(case)
    holder.append(lab)
    lab.add_servers("llm", 5, event_s=EVENT_S)
    new_server = lab.servers.pop()
    new_server.version = "2.0"
    fields = {"max_attempts": 2, "stream_resume": True, "session_affinity": True}
    engine = {"slots": 64, "kv_capacity": 410063, "stride": 1}
    tenants = [{"name": "a", "api_keys": ["key-a"], "prepaid": 100_000_000}]
    routes = [route("ask", "streaming", "llm", gap_target_ms=500, **fields)]
    if not await lab.start(config(routes, [{"name": "llm", "engine": engine}], tenants)):
        lab.record.say("the hosts did not become ready")
        return 2
    victim, others = lab.hosts[0], lab.hosts[1:]
    new = {"began": 0, "failed": 0}
    taken_up = {"went on": 0, "lost": 0}
    joined: list[str] = []
    killed = asyncio.Event()
    over = asyncio.Event()

    async def send(host: Host, extra: dict[str, str]):
        headers = {
            "Attempt-Id": new_id(),
            "Timeout-Remaining": "5000",
            "Model": "m",
            "Authorization": "Bearer key-a",
            "Token-Counts": f"{TOKENS_IN},{EVENTS}",
            "Prompt-Prefix": f"{random.getrandbits(32):08x}:{TOKENS_IN}",
            **extra,
        }
        answer = await request(host.front, "POST", "/ask/1", headers, b"x" * 500, 6)
        why = "whole" if answer.complete else answer.why
        lab.record.write(
            f"{host.name} {headers['Attempt-Id']} {extra or 'new'}: {answer.status} {why}"
        )
        return headers["Attempt-Id"], answer

    async def stream(host: Host) -> None:
        first_id, answer = await send(host, {})
        if over.is_set():
            return
        seen = event_ids(answer.body)
        if killed.is_set() and host is not victim:
            new["began" if answer.status == 200 and seen else "failed"] += 1
        if host is not victim or answer.complete or not killed.is_set():
            return
        if not seen or seen[-1] == EVENTS:
            # There is nothing to go on after, or nothing left.
            return
        wrote = versions(answer.body)
        for _ in range(TAKE_UPS):
            extra = {"Last-Event-Id": str(seen[-1]), "Resumes": first_id}
            _, answer = await send(random.choice(others), extra)
            rest = event_ids(answer.body)
            if answer.status == 200 and rest[:1] == [seen[-1] + 1]:
                taken_up["went on"] += 1
                if len(wrote | versions(answer.body)) > 1:
                    joined.append(first_id)
                return
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.1")))
        taken_up["lost"] += 1

    async def load(host: Host, rate: float) -> None:
        while host is not victim or not killed.is_set():
            asyncio.create_task(stream(host))
            await asyncio.sleep(1 / rate)

    tasks = [asyncio.create_task(load(victim, RATE))]
    tasks += [asyncio.create_task(load(host, OTHER_RATE)) for host in others]
    await asyncio.sleep(BEFORE_S)
    if releases:
        lab.servers.append(new_server)
        await new_server.start()
        lab.record.say("the first server of version 2.0 has joined")
    await asyncio.sleep(KILL_AFTER_S)
    killed.set()
    if trouble:
        victim.signal(signal.SIGKILL)
        lab.record.say(f"{victim.name} is killed")
    await asyncio.sleep(AFTER_S)
    over.set()
    for task in tasks:
        task.cancel()
    count = sum(taken_up.values())
    share_new = new["began"] / max(1, sum(new.values()))
    share = taken_up["went on"] / max(1, count)
    lab.record.say(f"new streams at the other hosts: {new}")
    lab.record.say(f"streams taken up there: {taken_up}; of two versions: {len(joined)}")
    if not trouble:
        return 0 if share_new > SHARE else 2
    if count < MIN_STREAMS or share_new <= SHARE:
        lab.record.say("too few streams to judge")
        return 2
    return 1 if share < SHARE * share_new else 0


run_case(main)
