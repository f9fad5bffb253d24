"""Requests of legal size whose ``Prompt-Prefix`` lists very many short parts.

At each of two hosts, one client of a tenant sends such requests, four at a time. Without the
trouble, the requests list three parts, as those of ordinary clients do.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab"))
from lab import Host, Lab, config, guard, new_id, press, request, route, run_case, verdict

# A third of the engines of the grown deployment, and its smallest machines, in MB.
ENGINES, MEMORY_MB = 15, 160
# With its other headers, a head of such a request has about 15,300 of the 16,384 bytes allowed.
SHORT_PARTS = 1_360
REQUESTS, LIMIT_S = 160, 80.0


async def main(case: Path, trouble: bool, holder: list[Lab]) -> int:
    """Return 1 if the platform had to kill two hosts for their memory, three times each."""
    lab = Lab(case, memory_mb=MEMORY_MB)
    holder.append(lab)
    lab.add_servers("llm", ENGINES)
    fields = {"max_attempts": 2, "stream_resume": True, "session_affinity": True}
    engine = {"slots": 32, "kv_capacity": 386933, "stride": 1}
    tenants = [
        {"name": "a", "api_keys": ["key-a"], "prepaid": 100_000_000},
        {"name": "b", "api_keys": ["key-b"], "prepaid": 100_000_000},
    ]
    routes = [route("ask", "streaming", "llm", gap_target_ms=500, **fields)]
    if not await lab.start(config(routes, [{"name": "llm", "engine": engine}], tenants)):
        lab.record.say("the hosts did not become ready")
        return 2
    counts: dict[str, int] = {}

    async def ask(host: Host, who: str, key: str, parts: int, tokens: str) -> None:
        prefix = ",".join(f"{random.getrandbits(32):08x}:1" for _ in range(parts))
        headers = {
            "Attempt-Id": new_id(),
            "Timeout-Remaining": "5000",
            "Model": "m",
            "Authorization": f"Bearer {key}",
            "Token-Counts": tokens,
            "Prompt-Prefix": prefix,
        }
        answer = await request(host.front, "POST", "/ask/1", headers, b"x" * 1000, 6)
        how = str(answer.status) if answer.complete else f"{answer.status} cut"
        counts[f"{who} {how}"] = counts.get(f"{who} {how}", 0) + 1
        lab.record.write(f"{who} at {host.name}: {parts} parts, {how} {answer.why}")

    async def ordinary(host: Host) -> None:
        while True:
            await ask(host, "ordinary", "key-b", 3, "100,400")
            await asyncio.sleep(0.2)

    async def client(host: Host) -> None:
        parts, ends = (SHORT_PARTS if trouble else 3), host.ends
        for number in range(4, REQUESTS + 1, 4):
            await asyncio.gather(*(ask(host, "client", "key-a", parts, "1400,5") for _ in range(4)))
            if host.ends != ends or not host.memory():
                lab.record.say(f"{host.name}: ended after {number} requests at most")
                return
            if number % 20 == 0:
                held = f"{host.memory():.0f} MB"
                lab.record.say(f"{host.name}: {number} requests with {parts} parts, {held}")

    hosts = lab.hosts[:2]
    tasks = [asyncio.create_task(guard(host, lab)) for host in lab.hosts]
    tasks += [asyncio.create_task(ordinary(host)) for host in hosts]
    await asyncio.gather(*(press(host, LIMIT_S, client) for host in hosts))
    await asyncio.sleep(5)
    for task in tasks:
        task.cancel()
    lab.record.say(f"answers: {counts}")
    return verdict(lab)


run_case(main)
