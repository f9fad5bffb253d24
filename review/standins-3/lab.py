"""Stand-ins and process control for the review's scripts.

The store, the servers and the clients run in the script's own event loop. Entry hosts are separate
processes, started with the command of ``deploy/system.toml``. All addresses are loopback ones.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import defaultdict
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "shop.example"
BOUNDS = """
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
reuse_window_s = 8.8
settle_ms = 1500
"""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the script began."""
        return time.monotonic() - self._began

    def __call__(self, text: str) -> None:
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's store: a log with conditional appends, over HTTP/1.1.

    Attributes
    ----------
    era : int
        Stated as ``Store-Era`` in all answers.
    down : bool
        Whether it does nothing and answers nobody.
    """

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[bytes, bytes]]] = defaultdict(list)
        self.era = 1
        self.calls = 0
        self.down = False
        # Returns what an append waits for whose answer is lost; None for one that is done and
        # answered at once.
        self.late: Callable[[str, bytes], Awaitable[None] | None] = lambda topic, body: None
        self._late_appends: set[asyncio.Task[None]] = set()
        self._changed: dict[str, asyncio.Event] = defaultdict(asyncio.Event)

    def put(self, topic: str, key: str, value: Any) -> int:
        """Append a record as the operator or a server would; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        return self.append(topic, key.encode(), data)

    def append(self, topic: str, key: bytes, value: bytes) -> int:
        """Append a record and return its offset."""
        self.topics[topic].append((key, value))
        self._changed.pop(topic, asyncio.Event()).set()
        return len(self.topics[topic]) - 1

    async def serve(self, address: str) -> asyncio.Server:
        """Accept connections at an address."""
        host, _, port = address.rpartition(":")
        return await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(0.004)
                self.calls += 1
                answer = None if self.down else await self._answer(request)
                if answer is None or self.down:
                    # A connection on which an answer is lost returns nothing further.
                    await reader.read()
                    return
                status, body = answer
                head = f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request) -> tuple[int, bytes] | None:
        path, _, query = request.target.partition("?")
        found = dict(item.partition("=")[::2] for item in query.split("&") if item)
        topic = found.get("topic", "").replace("%2F", "/")
        records = self.topics[topic]
        match request.method, path:
            case "POST", "/log-append":
                at = int(found["at"]) if "at" in found else None
                awaited = self.late(topic, request.body)
                if awaited is None:
                    return self._append(topic, at, request.body)
                task = asyncio.create_task(self._append_late(awaited, topic, at, request.body))
                self._late_appends.add(task)
                return None
            case "GET", "/log-read":
                offset = int(found["from"])
                if offset > len(records):
                    return 410, b'{"first":0}'
                if offset == len(records) and int(found.get("wait_ms", "0")):
                    try:
                        wait_s = int(found["wait_ms"]) / 1000
                        await asyncio.wait_for(self._changed[topic].wait(), wait_s)
                    except TimeoutError:
                        pass
                data = struct.pack(">QQ", len(records), 0)
                for key, value in records[offset:]:
                    item = bytes([len(key)]) + key + value
                    data += struct.pack(">I", len(item)) + item
                return 200, data
            case "GET", "/log-newest":
                newest: dict[bytes, tuple[bytes, int]] = {}
                for number, (key, value) in enumerate(records):
                    newest[key] = (value, number)
                items = [
                    {"key": k.decode(), "value": base64.b64encode(v).decode(), "offset": n}
                    for k, (v, n) in sorted(newest.items())
                    if v
                ]
                page = {"items": items, "has_more": False, "end": len(records)}
                return 200, json.dumps(page).encode()
        return 404, b""

    async def _append_late(
        self, awaited: Awaitable[None], topic: str, at: int | None, data: bytes
    ) -> None:
        await awaited
        self._append(topic, at, data)

    def _append(self, topic: str, at: int | None, data: bytes) -> tuple[int, bytes]:
        records = self.topics[topic]
        if at is not None and at != len(records):
            return 412, json.dumps({"end": len(records)}).encode()
        first, position = len(records), 0
        while position < len(data):
            (size,) = struct.unpack_from(">I", data, position)
            item = data[position + 4 : position + 4 + size]
            key_end = 1 + item[0]
            self.append(topic, item[1:key_end], item[key_end:])
            position += 4 + size
        return 200, json.dumps({"offset": first, "end": len(records)}).encode()


@dataclass
class Request:
    """A request as it was received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Value of ``Attempt-Id``."""
        return self.headers.get("attempt-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request on a connection, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    method, target, _ = first.split(" ")
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


@dataclass
class Server:
    """A server: registers in the store, writes heartbeats, and answers as a sound one would.

    ``events`` is the number of events of a stream, 0 for plain answers. ``behave`` may replace the
    answer to a request; it returns False to have the usual one sent.
    """

    id: str
    service: str
    address: str
    zone: str
    store: Store
    record: Record
    version: str = "v1"
    slots: int = 16
    events: int = 0
    work_s: float = 0.01
    gap_s: float = 0.01
    text: str = "x"
    behave: Callable[[Server, Request, asyncio.StreamWriter], Awaitable[bool]] | None = None
    headers: dict[str, str] = field(default_factory=dict)
    running: int = 0
    sequence: int = 0
    born: int = 0
    state: str = "ready"
    ran: list[tuple[float, str]] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _beats: asyncio.Task[None] | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Start a new incarnation."""
        host, _, port = self.address.rpartition(":")
        self.born, self.sequence = int(time.time() * 1000), 0
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """End at once: all connections are reset, and nothing is said to the store."""
        if self._server is not None:
            self._server.close()
        if self._beats is not None:
            self._beats.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self._server = self._beats = None

    @property
    def up(self) -> bool:
        """Whether it runs."""
        return self._server is not None

    def write_entry(self) -> None:
        """Write its entry into the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "state": self.state,
            "slots": self.slots,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("keyed.servers", self.id, entry)

    async def _beat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.target == "/report":
            body = json.dumps({"stage": "combined", "models": [], "born": self.born}).encode()
            await send_answer(writer, 200, {}, body)
            return
        common = {"Attempt-Id": request.id, "Server-Load": f"{self.running},0,{self.slots}"}
        common |= self.headers
        if request.headers.get("target-instance", self.id) != self.id:
            await send_answer(writer, 421, common | {"Instance-Id": self.id}, b"")
            return
        self.ran.append((self.record.now, request.id))
        self.record(
            f"run {self.id} {request.id} {request.target} for {request.headers.get('tenant')}"
        )
        self.running += 1
        try:
            if self.behave is not None and await self.behave(self, request, writer):
                return
            await asyncio.sleep(self.work_s)
            common["Response-Seal"] = f"seal.{self.id}.{request.id}"
            if not self.events:
                await send_answer(writer, 200, common, f"{self.text} {request.id}".encode())
                return
            await self.send_events(request, writer, common)
        finally:
            self.running -= 1

    async def send_events(
        self, request: Request, writer: asyncio.StreamWriter, common: dict[str, str]
    ) -> None:
        """Send a stream in chunks, from the event after ``Last-Event-Id`` on."""
        fields = common | {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        for number in range(int(request.headers.get("last-event-id", "0")) + 1, self.events + 1):
            event = f"id: {number}\ndata: {self.text}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def send_answer(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
) -> None:
    """Send a complete answer."""
    fields = headers | {"Content-Length": str(len(body))}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"HTTP/1.1 {status} X\r\n{head}\r\n".encode() + body)
    await writer.drain()


class Link:
    """A TCP proxy whose open connections can go silent while new ones work."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._live: set[Link._Pair] = set()

    @dataclass(eq=False)
    class _Pair:
        silent: bool = False

    @property
    def open(self) -> int:
        """Number of open connections that pass bytes on."""
        return sum(not pair.silent for pair in self._live)

    async def serve(self, address: str) -> asyncio.Server:
        """Accept connections at an address."""
        host, _, port = address.rpartition(":")
        return await asyncio.start_server(self._serve, host, int(port))

    def silence(self) -> int:
        """Let all open connections go silent, and return how many there were."""
        count = self.open
        for pair in self._live:
            pair.silent = True
        return count

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = self._Pair()
        self._live.add(pair)
        copies = [
            asyncio.create_task(self._copy(pair, reader, far_writer)),
            asyncio.create_task(self._copy(pair, far_reader, writer)),
        ]
        with suppress(asyncio.CancelledError):
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        for copy in copies:
            copy.cancel()
        self._live.discard(pair)
        writer.close()
        far_writer.close()

    async def _copy(
        self, pair: _Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if not pair.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            return


@dataclass
class Host:
    """An entry host as a separate process."""

    name: str
    zone: str
    ip: str
    ports: Ports
    store: str
    seeds: list[str]
    folder: Path
    zones: list[str]
    memory_mb: int = 300
    process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """Address for clients."""
        return f"{self.ip}:{self.ports.front}"

    @property
    def control(self) -> str:
        """Address for other hosts."""
        return f"{self.ip}:{self.ports.control}"

    @property
    def log(self) -> Path:
        """File with the lines that the process has written."""
        return self.folder / f"{self.name}.log"

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].replace("9464", str(self.ports.metrics)).split()
        command[0] = sys.executable if command[0] == "python3" else command[0]
        self.write_settings()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MULBERRYCLEAT_BOOT": str(self._settings_file),
        }
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=out, stderr=subprocess.STDOUT
            )

    def write_settings(self) -> None:
        """Write the settings file."""
        self._settings_file.write_text(self._settings())

    @property
    def _settings_file(self) -> Path:
        return self.folder / f"{self.name}.toml"

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    @property
    def up(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def _settings(self) -> str:
        seeds = ",".join(f'"{seed}"' for seed in self.seeds)
        zones = "\n".join(f'{zone} = "region-1"' for zone in self.zones)
        first = self.ports.tunnel
        return f"""
node_name = "{self.name}"
role = "entry"
machine_class = "edge"
serves = ["edge","control"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "region-1"
port_range = [{first},{first}]
seeds = [{seeds}]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
{zones}
[listen]
front = "{self.front}"
readiness = "{self.ip}:{self.ports.readiness}"
control = "{self.control}"
[limits]
cpu_share = 0.817
cpu_cores = 1
memory_mb = {self.memory_mb}
max_fds = 1638
link_mbps = 375.0
disk_mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
{BOUNDS}
[platform]
address = "{self.store}"
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
"""


@dataclass(frozen=True)
class Ports:
    """Ports of the entry hosts, the same on all of them."""

    front: int
    readiness: int
    control: int
    tunnel: int
    metrics: int


def free_ports(count: int, addresses: list[str]) -> list[int]:
    """Return ports that are free at all of some addresses."""
    found: list[int] = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        try:
            for address in addresses:
                with socket.socket() as other:
                    other.bind((address, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


@dataclass
class Answer:
    """What a client received."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    fault: str = ""


async def send_request(
    address: str,
    method: str,
    target: str,
    request_id: str,
    key: str,
    deadline_s: float = 3.0,
    body: bytes = b"",
    leaves_after_s: float | None = None,
    **headers: str,
) -> Answer:
    """Send a request on a new connection, as a client of the platform does.

    It leaves when the deadline is well over, or after `leaves_after_s` seconds.
    """
    waits_s = deadline_s + 0.7 if leaves_after_s is None else leaves_after_s
    answer = Answer()
    try:
        async with asyncio.timeout(waits_s):
            await _exchange(
                answer, address, method, target, request_id, key, deadline_s, body, headers
            )
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        answer.fault = f"{type(error).__name__} {error}"
    return answer


async def _exchange(
    answer: Answer,
    address: str,
    method: str,
    target: str,
    request_id: str,
    key: str,
    deadline_s: float,
    body: bytes,
    headers: dict[str, str],
) -> None:
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(host, int(port))
    try:
        fields = {
            "Host": HOST_NAME,
            "Attempt-Id": request_id,
            "Timeout-Remaining": str(int(deadline_s * 1000)),
            "Authorization": f"Bearer {key}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if method == "POST":
            fields["Content-Length"] = str(len(body))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
        await writer.drain()
        await read_answer(reader, answer)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer with a length or in chunks."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")[:-2]
    answer.status = int(first.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.lower()] = value.strip()
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    answer.complete = True


async def ready(host: Host, deadline_s: float = 15.0) -> bool:
    """Wait until a host says that it is ready."""
    until = time.monotonic() + deadline_s
    while time.monotonic() < until:
        found = await send_request(f"{host.ip}:{host.ports.readiness}", "GET", "/readiness", "", "")
        if found.status == 200:
            return True
        await asyncio.sleep(0.1)
    return False


def config(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route with the path prefix /NAME/."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 600,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
        "gap_target_ms": 500,
        **changes,
    }


def service(name: str, engine: bool = False) -> dict[str, Any]:
    """Return a service of the configuration."""
    found: dict[str, Any] = {"name": name, "health_path": "/health", "max_connections": 370}
    if engine:
        found["engine"] = {"slots": 16, "kv_capacity": 400_000, "stride": 5}
    return found


@dataclass
class Fleet:
    """Store, servers and entry hosts of one script."""

    record: Record
    store: Store
    store_address: str
    hosts: list[Host]
    folder: Path
    servers: list[Server] = field(default_factory=list)
    next_server: int = 0

    async def add_server(self, service: str, zone: str = "zone-a", **options: Any) -> Server:
        """Start a server at a free port."""
        self.next_server += 1
        (port,) = free_ports(1, ["127.0.2.1"])
        server = Server(
            f"s{self.next_server}",
            service,
            f"127.0.2.1:{port}",
            zone,
            self.store,
            self.record,
            **options,
        )
        self.servers.append(server)
        await server.start()
        return server

    def end(self) -> None:
        """End all processes."""
        for host in self.hosts:
            host.kill()
        for server in self.servers:
            server.crash()
        shutil.rmtree(self.folder, ignore_errors=True)


async def fleet(
    count: int,
    record: Record,
    store_address: str = "",
    store: Store | None = None,
    memory_mb: int = 300,
) -> Fleet:
    """Start a store, and make the hosts, which are started by the caller."""
    zones = ["zone-a", "zone-b", "zone-c"]
    ips = [f"127.0.1.{number}" for number in range(1, count + 1)]
    ports = Ports(*free_ports(5, ips))
    store = store or Store()
    if not store_address:
        store_address = f"127.0.3.1:{free_ports(1, ['127.0.3.1'])[0]}"
        await store.serve(store_address)
    folder = Path(tempfile.mkdtemp())
    seeds = [f"{ip}:{ports.control}" for ip in ips[:3]]
    hosts = [
        Host(
            f"edge-{number + 1}",
            zones[number % 3],
            ip,
            ports,
            store_address,
            seeds,
            folder,
            zones,
            memory_mb,
        )
        for number, ip in enumerate(ips)
    ]
    return Fleet(record, store, store_address, hosts, folder)
