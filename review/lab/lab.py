"""Stand-ins for the platform, its store, its servers and its clients, on loopback addresses.

They use the standard library only. The entry hosts are the project's own program, started with the
``run`` line of ``deploy/system.toml``.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"]
CONTRACTS += ["platform"]
ROOT = Path(__file__).resolve().parents[2]
BEGAN = time.monotonic()


class Record:
    """Lines of ``record.txt``: what was sent, answered and run, with the time in seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")

    def write(self, line: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - BEGAN:8.3f} {line}\n")
        self._file.flush()

    def say(self, line: str) -> None:
        """Write a line, and print it."""
        self.write(line)
        print(line, flush=True)


def free_ports(count: int, address: str = "127.0.0.1") -> list[int]:
    """Return ports that are free on all addresses of the loopback interface."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("0.0.0.0", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]] | None:
    """Return the first line and the headers of a message, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = [tuple(line.split(":", 1)) for line in lines[1:] if line]
    return lines[0], [(name.strip().lower(), value.strip()) for name, value in headers]


async def read_body(reader: asyncio.StreamReader, headers: list[tuple[str, str]]) -> bytes:
    """Return the body of a request."""
    found = dict(headers)
    if found.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(found.get("content-length", "0")))


def message(first: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store: a log with topics."""

    def __init__(self, port: int) -> None:
        self.address = f"127.0.0.1:{port}"
        self._port = port
        self.topics: dict[str, list[bytes]] = {}
        self._changed = asyncio.Event()
        self.era = 1
        self.down = False
        self.silent = False
        # Who has last written under a condition.
        self.last_writer = ""
        self.calls = 0

    async def start(self) -> None:
        """Accept connections."""
        await asyncio.start_server(self._serve, "127.0.0.1", self._port)

    def hang(self) -> None:
        """Answer nothing from now on."""
        self.silent = True

    def restore(self, copy: dict[str, list[bytes]], rewritten: tuple[str, ...]) -> None:
        """Come back from an older copy; others than the system write their topics again."""
        kept = {topic: self.topics.get(topic, []) for topic in rewritten}
        self.topics = {topic: list(log) for topic, log in copy.items()} | kept
        self.era += 1
        self.silent = False

    def put(self, topic: str, key: str, value: object) -> int:
        """Append a record of the operator or of a server; no value drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        return self._append(topic, [bytes([len(key)]) + key.encode() + data])

    def _append(self, topic: str, records: list[bytes]) -> int:
        log = self.topics.setdefault(topic, [])
        log += records
        self._changed.set()
        self._changed = asyncio.Event()
        return len(log) - len(records)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                self.calls += 1
                method, target, _ = head[0].split(" ")
                era = self.era
                if self.silent:
                    return await asyncio.sleep(30)
                if self.down:
                    status, answer = 503, b"{}"
                else:
                    status, answer = await self._answer(method, target, body)
                if self.silent or era != self.era:
                    return await asyncio.sleep(30)
                headers = [("Store-Era", str(self.era)), ("Content-Type", "application/json")]
                writer.write(message(f"HTTP/1.1 {status} X", headers, answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        log = self.topics.setdefault(topic, [])
        match method, url.path:
            case "POST", "/log-append":
                await asyncio.sleep(0.002)
                if "at" in query and int(query["at"]) != len(log):
                    return 412, json.dumps({"end": len(log)}).encode()
                records, position = [], 0
                while position < len(body):
                    (size,) = struct.unpack_from(">I", body, position)
                    records.append(body[position + 4 : position + 4 + size])
                    position += 4 + size
                offset = self._append(topic, records)
                if "at" in query:
                    self.last_writer = records[-1][1 : 1 + records[-1][0]].decode()
                return 200, json.dumps({"offset": offset, "end": len(log)}).encode()
            case "GET", "/log-read":
                start = int(query["from"])
                until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
                while len(log) <= start and (left := until - time.monotonic()) > 0:
                    changed = self._changed
                    try:
                        await asyncio.wait_for(changed.wait(), left)
                    except TimeoutError:
                        break
                if start > len(log):
                    return 410, json.dumps({"first": 0}).encode()
                found, size = [], 0
                for record in log[start:]:
                    size += len(record) + 4
                    if found and size > int(query.get("max_kb", "1024")) * 1024:
                        break
                    found.append(struct.pack(">I", len(record)) + record)
                return 200, struct.pack(">QQ", len(log), 0) + b"".join(found)
            case "GET", "/log-newest":
                newest: dict[bytes, tuple[int, bytes]] = {}
                for offset, record in enumerate(log):
                    key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
                    newest.pop(key, None)
                    if value:
                        newest[key] = offset, value
                items = [
                    {"key": k.decode(), "value": base64.b64encode(v).decode(), "offset": o}
                    for k, (o, v) in newest.items()
                ]
                return (
                    200,
                    json.dumps({"items": items, "has_more": False, "end": len(log)}).encode(),
                )
        return 404, b"{}"


class Server:
    """A server of a service, which registers itself in the store.

    A stream has as many events as ``Token-Counts`` names output tokens, one token each.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        port: int,
        zone: str,
        slots: int = 64,
        event_s: float = 0.005,
        work_s: float = 0.01,
    ) -> None:
        self.store, self.record, self.name, self.service = store, record, name, service
        self.address, self._port, self.zone, self.slots = f"127.0.0.1:{port}", port, zone, slots
        self.event_s, self.work_s = event_s, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[dict[str, str]] = []
        self.running = 0
        self.state = "ready"
        self.version = "1.0"

    async def start(self) -> None:
        """Accept connections, and register."""
        await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self.sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            if not self.store.down:
                self.store.put("keyed.servers", self.name, entry)
            await asyncio.sleep(1.2)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                headers = dict(head[1])
                if method == "GET" and target == "/report":
                    await self._send(
                        writer,
                        200,
                        [],
                        json.dumps(
                            {
                                "stage": "combined",
                                "models": [],
                                "busy": False,
                                "sequence": 1,
                                "queued": 0,
                                "active": self.running,
                                "kv_used": 0,
                                "kv_total": 400000,
                                "handles": 0,
                                "born": self.born,
                            }
                        ).encode(),
                    )
                    continue
                if headers.get("target-instance", self.name) != self.name:
                    await self._send(writer, 421, [("Instance-Id", self.name)], b"")
                    continue
                await self.handle(method, target, headers, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _send(self, writer, status, headers, body: bytes) -> None:
        writer.write(message(f"HTTP/1.1 {status} X", headers, body))
        await writer.drain()

    async def handle(self, method, target, headers, body, writer) -> None:
        """Run a request."""
        self.runs.append({"method": method, "target": target, **headers})
        self.running += 1
        load = [
            ("Server-Load", f"{self.running},0,{self.slots}"),
            ("Attempt-Id", headers.get("attempt-id", "")),
            ("Response-Seal", "1.seal"),
        ]
        try:
            await asyncio.sleep(self.work_s)
            if "token-counts" not in headers:
                await self._send(writer, 200, load, b"x" * 800)
                return
            events = int(headers["token-counts"].split(",")[1])
            first = int(headers.get("last-event-id", "0")) + 1
            lines = [
                "HTTP/1.1 200 OK",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                *(f"{n}: {v}" for n, v in load),
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(first, events + 1):
                data = f"id: {number}\ndata: {self.version} {number:050d}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                await asyncio.sleep(self.event_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1


class Host:
    """An entry host: the project's program, as the platform starts it."""

    def __init__(self, lab: Lab, number: int, zone: str, memory_mb: int) -> None:
        self.lab, self.zone, self.memory_mb = lab, zone, memory_mb
        self.name = f"edge-{zone}-{number}"
        self.ip = f"127.0.{10 + lab.subnet}.{number}"
        self.process: asyncio.subprocess.Process | None = None
        # How often the process has ended by itself.
        self.ends = 0
        self.path = lab.folder / f"{self.name}.toml"

    @property
    def front(self) -> tuple[str, int]:
        """Address that serves clients."""
        return self.ip, self.lab.ports["front"]

    def write_settings(self) -> None:
        """Write the settings file."""
        lab, ports = self.lab, self.lab.ports
        seeds = [f"{host.ip}:{ports['control']}" for host in lab.hosts[:3]]
        self.path.write_text(f"""
node_name = "{self.name}"
role = "entry"
machine_class = "edge"
serves = ["edge","control"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "r"
port_range = [{ports['range']},{ports['range']}]
seeds = {json.dumps(seeds)}
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = {json.dumps(CONTRACTS)}
[zones]
{chr(10).join(f'{zone} = "r"' for zone in sorted({host.zone for host in lab.hosts}))}
[listen]
front = "{self.ip}:{ports['front']}"
readiness = "{self.ip}:{ports['readiness']}"
control = "{self.ip}:{ports['control']}"
[limits]
cpu_share = 0.817
cpu_cores = 1
memory_mb = {self.memory_mb}
max_fds = 3075
link_mbps = 750.0
disk_mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_ms = 250
skew_max_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 58
recovery_s = 12
pass_ms = 120
reuse_window_s = 9.7
settle_ms = 1500
[platform]
address = "{lab.store.address}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
append_ms = 2.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
""")

    async def start(self) -> None:
        """Start the program with the ``run`` line of the deploy file."""
        self.write_settings()
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        words = shlex.split(role["run"])
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "MULBERRYCLEAT_BOOT": str(self.path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.lab.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.lab.processes.append(self.process)

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Whether the readiness address answers 200."""
        answer = await request(
            (self.ip, self.lab.ports["readiness"]), "GET", "/readiness", {}, timeout_s=1
        )
        return answer.status == 200

    async def until_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until the host says that it is ready."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def memory(self, field: str = "VmRSS") -> float:
        """Return the memory of the process in MB of 1,000,000 bytes, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        line = next((line for line in text.splitlines() if line.startswith(field)), "x 0")
        return int(line.split()[1]) * 1024 / 1e6


# RULES.md, "Faults": processes end by themselves three times, on two machines at least.
ENDS, MACHINES = 3, 2


async def guard(host: Host, lab: Lab) -> None:
    """Kill the process of a host that exceeds its memory, and start it again, as the platform does.

    DEPLOY.md: a process that exceeds ``memory_mb`` is killed, and is restarted after a short delay.
    """
    while True:
        memory = host.memory()
        if memory > host.memory_mb:
            host.signal(signal.SIGKILL)
            await host.process.wait()
            host.ends += 1
            lab.record.say(f"platform: killed {host.name} at {memory:.0f} of {host.memory_mb} MB")
            await asyncio.sleep(0.5)
            await host.start()
        await asyncio.sleep(0.02)


async def press(host: Host, limit_s: float, visit: Callable[[Host], Awaitable[None]]) -> None:
    """Let clients visit a host until its process has ended ``ENDS`` times, or for a time."""
    until = time.monotonic() + limit_s
    while host.ends < ENDS and time.monotonic() < until:
        ends = host.ends
        await visit(host)
        if host.ends == ends and host.memory():
            # The clients have done all that they do, and the host lives.
            return
        await asyncio.sleep(1.0)
        await host.until_ready(10)


def verdict(lab: Lab) -> int:
    """Return the exit status of a case about processes that end by themselves."""
    ends = {host.name: host.ends for host in lab.hosts}
    lab.record.say(f"processes that ended by themselves: {ends}")
    return 1 if sum(count >= ENDS for count in ends.values()) >= MACHINES else 0


class Answer:
    """What a client got: the status is 0 if no answer came."""

    def __init__(self) -> None:
        self.status, self.headers, self.body = 0, {}, b""
        self.complete, self.why, self.took_s = False, "", 0.0


async def request(
    address,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
    connection=None,
) -> Answer:
    """Send a request on a new connection, or a given one, and read its answer."""
    answer, began = Answer(), time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            if connection is None:
                reader, writer = await asyncio.open_connection(*address, limit=2**20)
            else:
                reader, writer_kept = connection
            target = writer or writer_kept
            pairs = [("Host", "t.example"), *headers.items()]
            target.write(message(f"{method} {path} HTTP/1.1", pairs, body))
            await target.drain()
            head = await read_head(reader)
            if head is None:
                answer.why = "closed without an answer"
                return answer
            answer.status = int(head[0].split(" ")[1])
            answer.headers = dict(head[1])
            if answer.headers.get("transfer-encoding") == "chunked":
                while size := int((await reader.readline()).strip() or b"-1", 16):
                    if size < 0:
                        raise asyncio.IncompleteReadError(b"", None)
                    answer.body += await reader.readexactly(size)
                    await reader.readline()
                await reader.readline()
            else:
                answer.body = await reader.readexactly(
                    int(answer.headers.get("content-length", "0"))
                )
            answer.complete = True
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        answer.why = f"{type(error).__name__}: {error}"
    finally:
        answer.took_s = time.monotonic() - began
        if writer is not None:
            writer.close()
    return answer


class Lab:
    """A small deployment: a store, servers, and entry hosts in their zones."""

    def __init__(self, case: Path, hosts: int = 3, zones: int = 3, memory_mb: int = 235) -> None:
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[asyncio.subprocess.Process] = []
        # Several runs beside each other would use other addresses.
        self.subnet = os.getpid() % 200
        numbers = iter(free_ports(100))
        self._numbers = numbers
        self.ports = {
            name: next(numbers) for name in ("front", "readiness", "control", "range", "metrics")
        }
        self.store = Store(next(numbers))
        self.hosts: list[Host] = []
        for number in range(hosts):
            self.hosts.append(Host(self, number + 1, f"z{number % zones + 1}", memory_mb))
        self.servers: list[Server] = []
        self.version = 0

    def add_servers(self, service: str, count: int, kind=Server, **options) -> list[Server]:
        """Add servers of a service."""
        zones = sorted({host.zone for host in self.hosts})
        added = [
            kind(
                self.store,
                self.record,
                f"i-{service}-{n}",
                service,
                next(self._numbers),
                zones[n % len(zones)],
                **options,
            )
            for n in range(count)
        ]
        self.servers += added
        return added

    def publish(self, config: dict) -> None:
        """Write a configuration."""
        self.version += 7
        self.store.put("keyed.op", "config", {"version": self.version, **config})

    async def start(self, config: dict) -> bool:
        """Start everything, and wait until all hosts are ready."""
        await self.store.start()
        self.publish(config)
        for server in self.servers:
            await server.start()
        for host in self.hosts:
            await host.start()
        return all([await host.until_ready() for host in self.hosts])

    async def end(self) -> None:
        """End all processes."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()


def config(routes: list[dict], services: list[dict], tenants: list[dict] = ()) -> dict:
    """Return a configuration without its version."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 15000,
    }
    return {"routes": routes, "services": services, "limits": limits, "tenants": list(tenants)}


def route(name: str, kind: str, service: str, **fields) -> dict:
    """Return a route under ``/NAME/``."""
    return {
        "name": name,
        "host": "t.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 5000,
        "target_latency_ms": 600,
        "max_attempts": 1,
        "priority": 0,
        **fields,
    }


def new_id() -> str:
    """Return the id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


def run_case(main) -> None:
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    case = Path(sys.argv[0]).resolve().parent

    async def limited() -> int:
        lab_holder: list[Lab] = []
        try:
            async with asyncio.timeout(115):
                return await main(case, trouble, lab_holder)
        except TimeoutError:
            print("the case took too long")
            return 2
        finally:
            for lab in lab_holder:
                await lab.end()
            sys.stdout.flush()

    async def ended() -> None:
        code = await limited()
        # Without a clean-up of connections that are still open.
        os._exit(code)

    asyncio.run(ended())
