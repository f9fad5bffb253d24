"""Stand-ins for the platform, its store, its servers and its clients, in one event loop.

They speak what the users' pages say and use the standard library only. The project's own programs
run beside them as separate processes, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A script runs for 120 seconds at most.
WATCHDOG_S = 110.0
# Last number of the first host's address, and the port at which hosts serve their metrics.
FIRST_HOST, METRICS_PORT = 11, 9464
STARTED = time.monotonic()


def now() -> float:
    """Return the seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")

    def line(self, *words: object) -> None:
        """Write one line with the time since the start."""
        print(f"{now():8.3f}", *words, file=self._file, flush=True)

    def show(self, *words: object) -> None:
        """Write one line, and print it too."""
        self.line(*words)
        print(f"{now():8.3f}", *words, flush=True)


class Message:
    """Head and body of an HTTP message; header names are in lower case."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body

    @property
    def words(self) -> list[str]:
        """The words of the first line."""
        return self.first.split(" ", 2)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the first line and the headers; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Message(lines[0], {n.strip().lower(): v.strip() for n, _, v in pairs}, b"")


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a request with its body."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                message.body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            message.body = await reader.readexactly(int(message.headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return message


def head(status: str, headers: dict[str, object]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status}", *(f"{n}: {v}" for n, v in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


def answer(status: str, body: bytes = b"", **headers: object) -> bytes:
    """Return a complete answer; underscores in header names stand for hyphens."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return head(status, {**named, "Content-Length": len(body)}) + body


class Listener:
    """Serves one address; `drop` ends all its connections with a reset, as a dead process does."""

    def __init__(self, ip: str, port: int) -> None:
        self.ip, self.port = ip, port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address, as ``ip:port``."""
        return f"{self.ip}:{self.port}"

    async def open(self) -> None:
        """Begin to accept connections."""
        self._server = await asyncio.start_server(
            self._accept, self.ip, self.port, limit=2**20, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def drop(self) -> None:
        """Accept no more connections, and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def reset(self) -> None:
        """Reset the open connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                with suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Store(Listener):
    """The platform's store: a log with keyed topics, as PROTOCOL.md describes it."""

    def __init__(self, ip: str, record: Record) -> None:
        super().__init__(ip, 0)
        self._record = record
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed: dict[str, asyncio.Event] = {}
        self.era = 1
        self.down = False

    def put(self, topic: str, key: str, value: object) -> int | None:
        """Write a record as the operator or a server does; None while the store is down."""
        if self.down:
            return None
        return self._append(topic, key, json.dumps(value).encode())

    def copy(self) -> dict[str, list[tuple[str, bytes]]]:
        """Return a copy of all topics."""
        return {topic: list(records) for topic, records in self._topics.items()}

    def restore(self, copy: dict[str, list[tuple[str, bytes]]]) -> None:
        """Come back from an older copy, in a new era."""
        self._topics = {topic: list(records) for topic, records in copy.items()}
        self.era += 1

    def go_down(self) -> None:
        """Answer no more calls; connections are reset, and new ones are refused."""
        self.down = True
        self.drop()

    async def come_back(self) -> None:
        """Serve again."""
        await self.open()
        self.down = False

    def _append(self, topic: str, key: str, value: bytes) -> int:
        records = self._topics.setdefault(topic, [])
        records.append((key, value))
        self._changed.pop(topic, asyncio.Event()).set()
        return len(records) - 1

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            method, target, _ = request.words
            url = urlsplit(target)
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            await asyncio.sleep(0.002)
            status, body = await self._call(method, url.path, query, request.body)
            writer.write(answer(status, body, Store_Era=self.era))
            await writer.drain()

    async def _call(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[str, bytes]:
        topic = query.get("topic", "")
        match method, path:
            case "POST", "/log-append":
                return self._serve_append(topic, query, body)
            case "GET", "/log-read":
                return await self._serve_read(topic, query)
            case "GET", "/log-newest":
                return "200 OK", self._newest_page(topic, query.get("after", ""))
        return "404 Not Found", b"{}"

    def _newest_page(self, topic: str, after: str) -> bytes:
        """Return the newest record of each key after `after`: at most 500, or 1 MB."""
        records = self._topics.get(topic, [])
        newest = {key: (number, value) for number, (key, value) in enumerate(records)}
        items: list[dict[str, object]] = []
        size, has_more = 0, False
        for key in sorted(key for key, (_, value) in newest.items() if value and key > after):
            number, value = newest[key]
            item = {"key": key, "value": base64.b64encode(value).decode(), "offset": number}
            size += len(json.dumps(item))
            if items and (len(items) == 500 or size > 1_000_000):
                has_more = True
                break
            items.append(item)
        page = {"items": items, "has_more": has_more, "end": len(records)}
        return json.dumps(page).encode()

    def _serve_append(self, topic: str, query: dict[str, str], body: bytes) -> tuple[str, bytes]:
        if topic in ("keyed.op", "keyed.servers"):
            return "403 Forbidden", b"{}"
        end = len(self._topics.get(topic, []))
        if "at" in query and int(query["at"]) != end:
            return "412 Precondition Failed", json.dumps({"end": end}).encode()
        place = 0
        while place < len(body):
            (size,) = struct.unpack_from(">I", body, place)
            payload = body[place + 4 : place + 4 + size]
            if topic.startswith("keyed."):
                key_end = 1 + payload[0]
                self._append(topic, payload[1:key_end].decode(), payload[key_end:])
            else:
                self._append(topic, "", payload)
            place += 4 + size
        found = {"offset": end, "end": len(self._topics.get(topic, []))}
        return "200 OK", json.dumps(found).encode()

    async def _serve_read(self, topic: str, query: dict[str, str]) -> tuple[str, bytes]:
        start, wait_s = int(query["from"]), min(30.0, float(query.get("wait_ms", 0)) / 1000)
        until = time.monotonic() + wait_s
        while True:
            records = self._topics.get(topic, [])
            if start > len(records):
                return "410 Gone", json.dumps({"first": 0}).encode()
            left_s = until - time.monotonic()
            if start < len(records) or left_s <= 0:
                break
            changed = self._changed.setdefault(topic, asyncio.Event())
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            keyed = topic.startswith("keyed.")
            payload = (bytes([len(key.encode())]) + key.encode() if keyed else b"") + value
            if len(data) + len(payload) > int(query.get("max_kb", 1024)) * 1024:
                break
            data += struct.pack(">I", len(payload)) + payload
        return "200 OK", data


class Server(Listener):
    """A server of a service: a model server if `events` is set, else a plain one.

    It registers itself in the store, answers 421 for another server, and drops the work of a
    request whose connection closes.
    """

    def __init__(
        self,
        lab: Lab,
        name: str,
        service: str,
        zone: str,
        ip: str,
        *,
        version: str = "v1",
        slots: int = 64,
        events: int = 0,
        first_s: float = 0.05,
        event_s: float = 0.02,
    ) -> None:
        super().__init__(ip, 0)
        self._lab, self.name, self.service, self.zone = lab, name, service, zone
        self.version, self.slots, self.events = version, slots, events
        self.first_s, self.event_s = first_s, event_s
        self.born = int(time.time() * 1000)
        self.active = 0
        self._sequence = 0
        self._speaks = asyncio.Event()
        self._speaks.set()
        self._beating: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin to serve, and register in the store."""
        await self.open()
        self._beating = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """End as a killed process does."""
        self.drop()
        if self._beating is not None:
            self._beating.cancel()

    async def start_again(self, version: str) -> None:
        """Start again under the same id and address; nothing of before is known."""
        self.version, self.born = version, int(time.time() * 1000)
        self._sequence = 0
        await self.start()

    async def fall_silent(self, seconds: float) -> None:
        """Send no event for some time, and then go on."""
        self._lab.record.show("server silent", self.name, f"{seconds:g} s")
        self._speaks.clear()
        await asyncio.sleep(seconds)
        self._speaks.set()
        self._lab.record.show("server goes on", self.name)

    def register(self) -> None:
        """Write the entry into the store."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "combined",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self._sequence,
            "born": self.born,
        }
        offset = self._lab.store.put("keyed.servers", self.name, entry)
        self._lab.record.line("entry", self.name, self.version, "offset", offset)

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(1.2)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            if not await self._answer(request, reader, writer):
                return

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        headers, request_id = request.headers, request.headers.get("attempt-id", "")
        common = {
            "Attempt-Id": request_id,
            "Instance-Id": self.name,
            "Server-Load": f"{self.active},0,{self.slots}",
        }
        if headers.get("target-instance", self.name) != self.name:
            writer.write(head("421 Misdirected Request", {**common, "Content-Length": 0}))
            return True
        if request.words[1].startswith("/health") or request.words[1] == "/report":
            report = {"stage": "combined", "born": self.born, "active": self.active, "queued": 0}
            body = json.dumps(report).encode()
            writer.write(head("200 OK", {**common, "Content-Length": len(body)}) + body)
            return True
        if self.active >= self.slots:
            declined = {**common, "Not-Executed": 1, "Content-Length": 0}
            writer.write(head("503 Service Unavailable", declined))
            return True
        self.active += 1
        first = int(headers.get("last-event-id", 0)) + 1
        run = Run(request_id, self.name, self.version, headers, len(request.body), first)
        self._lab.ran(run)
        work = asyncio.create_task(self._work(run, common, first, writer))
        try:
            # The work of a request whose connection has ended is dropped.
            while not (await asyncio.wait({work}, timeout=0.02))[0]:
                if reader.at_eof() or writer.transport.is_closing():
                    self._lab.record.line("dropped", request_id, "server", self.name)
                    return False
            return work.exception() is None
        finally:
            work.cancel()
            self.active -= 1

    async def _work(
        self, run: Run, common: dict[str, object], first: int, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(self.first_s)
        await self._speaks.wait()
        sealed = {**common, "Response-Seal": f"{self.name}.{run.number}", "Weight-Versions": 1}
        if not self.events:
            body = f"{self.name} {run.request_id}".encode()
            writer.write(head("200 OK", {**sealed, "Content-Length": len(body)}) + body)
            await writer.drain()
            return
        framing = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(head("200 OK", {**sealed, **framing}))
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.version} {self.name} {run.request_id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
            await self._speaks.wait()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Run:
    """A request that a server began to run."""

    count = 0

    def __init__(
        self,
        request_id: str,
        server: str,
        version: str,
        headers: dict[str, str],
        body_bytes: int,
        first: int,
    ) -> None:
        Run.count += 1
        self.number, self.request_id, self.server = Run.count, request_id, server
        self.version, self.headers, self.body_bytes = version, headers, body_bytes
        self.first, self.at = first, now()


class Host:
    """One machine of the system: a process of the project, started and stopped by signals."""

    def __init__(self, lab: Lab, name: str, zone: str, ip: str, memory_mb: int) -> None:
        self._lab, self.name, self.zone, self.ip = lab, name, zone, ip
        self.memory_mb = memory_mb
        self.process: subprocess.Popen | None = None
        self.starts = 0
        self.front = (ip, lab.ports["front"])
        self.readiness = (ip, lab.ports["readiness"])

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        lab = self._lab
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        boot = lab.folder / f"{self.name}.toml"
        boot.write_text(lab.settings_of(self))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target" / "deps"), "MULBERRYCLEAT_BOOT": str(boot)}
        self.starts += 1
        with open(lab.folder / f"{self.name}.{self.starts}.log", "wb") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log, stderr=log)
        lab.record.show("start", self.name, "pid", self.process.pid)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._lab.record.show("signal", number.name, self.name)
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    def anonymous_mb(self) -> float:
        """Return the memory that the process itself occupies, without files that it maps, in MiB."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        line = next((x for x in text.splitlines() if x.startswith("RssAnon:")), "RssAnon: 0 kB")
        return int(line.split()[1]) / 1024

    async def is_ready(self) -> bool:
        """Ask for the readiness of the host."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.readiness)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                found = await read_head(reader)
                writer.close()
                return found is not None and found.words[1] == "200"
        except (OSError, TimeoutError):
            return False


class Lab:
    """A small deployment: hosts in three zones, a store, servers and clients."""

    def __init__(self, case: str, seed: int = 1) -> None:
        self.case = Path(case).resolve().parent
        self.record = Record(self.case)
        self.random = random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        # A block of loopback addresses of its own for each run.
        self.net = _free_net()
        self.ports = dict(
            zip(("front", "readiness", "control", "tunnel"), _free_ports(4), strict=True)
        )
        self.store = Store(f"{self.net}.201", self.record)
        self.hosts: list[Host] = []
        self.servers: list[Server] = []
        self.runs: list[Run] = []
        self._tasks: set[asyncio.Task] = set()

    def ran(self, run: Run) -> None:
        """Note that a server began to run a request."""
        self.runs.append(run)
        self.record.line(
            "run", run.request_id, "server", run.server, run.version, "from event", run.first,
            "body", run.body_bytes, "tenant", run.headers.get("tenant"),
        )  # fmt: skip

    def add_host(self, number: int, memory_mb: int = 235) -> Host:
        """Add a host; zones take turns."""
        zone = "abc"[number % 3]
        ip = f"{self.net}.{number + FIRST_HOST}"
        host = Host(self, f"edge-zone-{zone}-{number}", f"zone-{zone}", ip, memory_mb)
        self.hosts.append(host)
        return host

    def settings_of(self, host: Host) -> str:
        """Return the settings file of a host, as DEPLOY.md lays it out."""
        control = self.ports["control"]
        seeds = [f"{h.ip}:{control}" for h in self.hosts[:3]]
        tunnel = self.ports["tunnel"]
        return f"""
node_name = "{host.name}"
role = "entry"
machine_class = "edge"
serves = ["edge", "control"]
ip = "{host.ip}"
zone = "{host.zone}"
region = "region"
port_range = [{tunnel}, {tunnel}]
seeds = {json.dumps(seeds)}
bootstrap = {"true" if host.starts == 0 else "false"}
loss_counts = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
    "platform"]
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen]
front = "{host.ip}:{self.ports['front']}"
readiness = "{host.ip}:{self.ports['readiness']}"
control = "{host.ip}:{control}"
[limits]
cpu_share = 0.817
cpu_cores = 1
memory_mb = {host.memory_mb}
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
address = "{self.store.address}"
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

    async def wait_ready(self, hosts: list[Host] | None = None, limit_s: float = 25.0) -> None:
        """Wait until hosts are ready; the case can't run otherwise."""
        until = time.monotonic() + limit_s
        for host in hosts or self.hosts:
            while not await host.is_ready():
                if time.monotonic() > until:
                    raise CannotRunError(f"{host.name} is not ready after {limit_s:g} s")
                await asyncio.sleep(0.1)

    def spawn(self, work) -> asyncio.Task:
        """Run a coroutine in the background; its errors are raised at the end."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        return task

    async def finish(self, limit_s: float) -> None:
        """Wait for all background work."""
        done, pending = await asyncio.wait(self._tasks, timeout=limit_s)
        for task in pending:
            task.cancel()
        for task in done:
            if not task.cancelled() and task.exception() is not None:
                raise task.exception()

    async def stop_standins(self) -> None:
        """End the processes, and then the work of all stand-ins."""
        for host in self.hosts:
            host.kill()
        for listener in (self.store, *self.servers):
            listener.drop()
        await asyncio.sleep(0.1)
        mine = asyncio.current_task()
        others = [task for task in asyncio.all_tasks() if task is not mine]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def record_logs(self) -> None:
        """Copy the ends of the processes' logs to the record."""
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines()[-20:]:
                self.record.line(path.name, line)

    def end(self) -> None:
        """End all processes that the script started, and remove the temporary folder."""
        for host in self.hosts:
            host.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not be run."""


class Answer:
    """What a client got for one attempt."""

    def __init__(self) -> None:
        self.status, self.headers = 0, {}
        self.events: list[tuple[int, str]] = []
        self.body, self.complete, self.fault, self.on_kept = b"", False, "", False


class Client:
    """A client that keeps one connection to a host open for its requests."""

    def __init__(self, lab: Lab, host: Host) -> None:
        self._lab, self.host = lab, host
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self, method: str, path: str, headers: dict[str, object], body: bytes, wait_s: float
    ) -> Answer:
        """Send one attempt and read its answer, for `wait_s` seconds at most."""
        found = Answer()
        request_id = headers["Attempt-Id"]
        self._lab.record.line("send", request_id, "to", self.host.name, method, path)
        try:
            async with asyncio.timeout(wait_s):
                await self._exchange(method, path, headers, body, found)
        except TimeoutError:
            found.fault = "no whole answer in time"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            found.fault = f"connection ended: {type(error).__name__}"
        if not found.complete:
            self.close()
        self._lab.record.line(
            "answer", request_id, found.status, "complete" if found.complete else "incomplete",
            "events", len(found.events), found.fault,
        )  # fmt: skip
        return found

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _exchange(
        self, method: str, path: str, headers: dict[str, object], body: bytes, found: Answer
    ) -> None:
        found.on_kept = self._streams is not None
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self.host.front, limit=2**20)
        reader, writer = self._streams
        lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()
        message = await read_head(reader)
        if message is None:
            raise ConnectionError
        found.status, found.headers = int(message.words[1]), message.headers
        if message.headers.get("transfer-encoding") == "chunked":
            data = b""
            while size := int((await reader.readuntil(b"\r\n")).strip() or b"0", 16):
                data += await reader.readexactly(size)
                await reader.readexactly(2)
                *events, data = data.split(b"\n\n")
                for event in events:
                    lines = event.decode().split("\n")
                    number = next((int(x[3:]) for x in lines if x.startswith("id:")), 0)
                    text = next((x[6:] for x in lines if x.startswith("data: ")), "")
                    found.events.append((number, text))
            await reader.readexactly(2)
        else:
            found.body = await reader.readexactly(int(message.headers.get("content-length", 0)))
        found.complete = True
        if message.headers.get("connection", "").lower() == "close":
            self.close()


def _free_net() -> str:
    """Return the first three numbers of loopback addresses that no other run uses."""
    draw = random.SystemRandom()
    while True:
        net = f"127.{draw.randint(16, 250)}.{draw.randint(1, 250)}"
        with socket.socket() as found, suppress(OSError):
            found.bind((f"{net}.{FIRST_HOST}", METRICS_PORT))
            return net


def _free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for found in sockets:
        found.bind(("127.0.0.1", 0))
    ports = [found.getsockname()[1] for found in sockets]
    for found in sockets:
        found.close()
    return ports


def main(case: str, play) -> None:
    """Run `play(lab)`, which returns whether the rule was broken, and exit accordingly."""
    lab = Lab(case)
    code = NOT_RUN

    async def run() -> int:
        try:
            async with asyncio.timeout(WATCHDOG_S):
                return BROKEN if await play(lab) else HELD
        finally:
            await lab.stop_standins()

    # A script that is stopped from outside ends its processes, too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    try:
        code = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        lab.record.show("could not run:", repr(error))
        lab.record_logs()
    finally:
        lab.end()
    lab.record.show("result", {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
