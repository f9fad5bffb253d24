"""Requests with bodies of legal size, one after the other, until the host exceeds its memory.

At each of two hosts, one client sends requests of ``max_body_bytes`` on a kept connection, each
after the answer to the one before. An ordinary client has short requests and a long stream at the
same host. Without the trouble, the bodies have the largest size on the sheet of the deployment.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab"))
from lab import Host, Lab, config, guard, new_id, press, request, route, run_case, verdict

MAX_BODY_BYTES, SHEET_BODY_BYTES = 4_194_304, 110_000
# Memory of the smallest machine of the deployment, in MB.
MEMORY_MB = 235
REQUESTS, LIMIT_S = 250, 80.0


async def main(case: Path, trouble: bool, holder: list[Lab]) -> int:
    """Return 1 if the platform had to kill two hosts for their memory, three times each."""
    lab = Lab(case, memory_mb=MEMORY_MB)
    holder.append(lab)
    lab.add_servers("app", 3)
    lab.add_servers("llm", 3, event_s=0.25)
    routes = [
        route("book", "non_idempotent", "app", anonymous=True),
        route("find", "idempotent", "app", anonymous=True, max_attempts=2),
        route("ask", "streaming", "llm", anonymous=True, timeout_ms=15000, gap_target_ms=500),
    ]
    engine = {"slots": 64, "kv_capacity": 410063, "stride": 1}
    if not await lab.start(config(routes, [{"name": "app"}, {"name": "llm", "engine": engine}])):
        lab.record.say("the hosts did not become ready")
        return 2
    counts: dict[str, int] = {}

    def count(who: str, host: Host, answer) -> None:
        how = str(answer.status) if answer.complete else f"{answer.status} cut"
        counts[f"{who} {how}"] = counts.get(f"{who} {how}", 0) + 1
        lab.record.write(f"{who} at {host.name}: {how} {answer.why}")

    async def lookups(host: Host) -> None:
        while True:
            headers = {"Attempt-Id": new_id(), "Timeout-Remaining": "1501"}
            answer = await request(host.front, "GET", "/find/1", headers, timeout_s=2)
            count("lookup", host, answer)
            await asyncio.sleep(0.5)

    async def streams(host: Host) -> None:
        while True:
            headers = {
                "Attempt-Id": new_id(),
                "Timeout-Remaining": "15000",
                "Model": "m",
                "Token-Counts": "100,40",
                "Prompt-Prefix": "a1:50,b2:50",
            }
            count("stream", host, await request(host.front, "POST", "/ask/1", headers, b"x", 16))
            await asyncio.sleep(0.2)

    body = b"b" * (MAX_BODY_BYTES if trouble else SHEET_BODY_BYTES)

    async def bookings(host: Host) -> None:
        connection = await asyncio.open_connection(*host.front, limit=2**20)
        for number in range(1, REQUESTS + 1):
            headers = {"Attempt-Id": new_id(), "Timeout-Remaining": "3000"}
            answer = await request(host.front, "POST", "/book/1", headers, body, 5, connection)
            count("booking", host, answer)
            if not answer.complete:
                lab.record.say(f"{host.name}: cut off after {number - 1} bookings")
                return
            if number % 50 == 0:
                held = f"{host.memory():.0f} MB"
                lab.record.say(f"{host.name}: {number} bookings of {len(body)} bytes, {held}")

    hosts = lab.hosts[:2]
    tasks = [asyncio.create_task(guard(host, lab)) for host in lab.hosts]
    tasks += [asyncio.create_task(run(host)) for host in hosts for run in (lookups, streams)]
    await asyncio.gather(*(press(host, LIMIT_S, bookings) for host in hosts))
    # For streams to end.
    await asyncio.sleep(8)
    for task in tasks:
        task.cancel()
    lab.record.say(f"answers: {counts}")
    return verdict(lab)


run_case(main)
