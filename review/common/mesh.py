"""A small deployment on loopback addresses: the real daemons as separate processes, and
small stand-ins for the platform's store, the instances and the clients.

The stand-ins follow PROTOCOL.md: the store serves /kv-key, /kv-range and /kv-watch, the
instances echo Endivescale-Request-Id and sign their answers, the clients give each attempt
an id of its own.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = "target/release/endivescaled"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "ulaanbaatar-a"


class CannotRun(Exception):
    pass


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")


def free_ports(ip, count):
    """Returns ports that nobody uses at `ip`."""
    sockets, ports = [], []
    for _ in range(count):
        s = socket.socket()
        s.bind((ip, 0))
        sockets.append(s)
        ports.append(s.getsockname()[1])
    for s in sockets:
        s.close()
    return ports


async def read_head(reader):
    """Reads the head of a message; returns its first line and its headers in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, on_data, pace=lambda: 0):
    """Reads a body to its end as its framing states it, and passes its bytes to `on_data`.
    Waits for the time that `pace` returns before each piece of 64 KiB.

    Raises IncompleteReadError or ConnectionError if it breaks off."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
                return
            left = size
            while left:
                await asyncio.sleep(pace())
                data = await reader.read(min(left, 65536))
                if not data:
                    raise asyncio.IncompleteReadError(b"", left)
                left -= len(data)
                on_data(data)
            await reader.readexactly(2)
    left = int(headers.get("content-length", "0"))
    while left:
        await asyncio.sleep(pace())
        data = await reader.read(min(left, 65536))
        if not data:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(data)
        on_data(data)


class Store:
    """The platform's store. The test writes into it as the operator and the instances do."""

    def __init__(self, ip, record):
        self.ip, self.record = ip, record
        self.revision, self.items, self.history = 7, {}, []
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, key, value):
        async with self.changed:
            self.revision += 1
            text = base64.b64encode(json.dumps(value).encode()).decode()
            item = {"key": key, "value": text, "revision": self.revision,
                    "created": self.revision, "lease": 0}
            self.items[key] = item
            self.history.append(item)
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.history.append({"key": key, "revision": self.revision, "removed": True})
            self.changed.notify_all()

    async def answer(self, target):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/kv-key":
            item = self.items.get(query.get("key"))
            return (200, dict(item, current_rev=self.revision)) if item else \
                (404, {"current_rev": self.revision})
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        if url.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "current_rev": self.revision}
        if url.path == "/kv-watch":
            end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                async with self.changed:
                    events = [e for e in self.history
                              if e["revision"] > int(after or 0) and e["key"].startswith(prefix)]
                    left = end - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "current_rev": self.revision}
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                line, _ = await read_head(reader)
                status, body = await self.answer(line.split(" ")[1])
                await asyncio.sleep(0.004)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Vm:
    """A machine: one daemon, started as the deploy file says, and one instance beside it."""

    def __init__(self, mesh, index, service, handler, slots):
        self.mesh, self.service, self.handler, self.slots = mesh, service, handler, slots
        self.ip = f"127.{mesh.net}.{index}.1"
        self.name = f"sidecar-{ZONE}-{index}"
        self.id = f"i-{mesh.net:02x}{index:02x}"
        self.process, self.seq, self.born = None, 0, int(time.time() * 1000)
        self.connections, self.receive_buffer = set(), None

    def address(self, name):
        return self.ip, self.mesh.ports[name]

    def settings(self, first_start):
        p, ip = self.mesh.ports, self.ip
        lines = [
            "[daemon]", f'instance = "{self.name}"', f'service = "{self.service}"',
            f'zone = "{ZONE}"', 'region = "central"',
            "[listen]", f'caller = "{ip}:{p["outbound"]}"', f'peer = "{ip}:{p["inbound"]}"',
            f'operator = "{ip}:{p["operator"]}"', f'control = "{ip}:{p["control"]}"',
            "[upstream]", f'address = "{ip}:{p["app"]}"',
            "[platform]", f'address = "{self.mesh.store.ip}:{self.mesh.store.port}"',
            "[adapter]", 'platform = "store"', f'ready = "{ip}:{p["ready"]}"',
            "[adapter.zones]", f'"{ZONE}" = "central"',
            "[stop]", f'patience = "{self.mesh.grace}s"',
            "[repeats]", "ratio = 0.2", "slack = 47", 'window = "10s"',
            f"first_start = {str(first_start).lower()}",
        ]
        if self.mesh.revoke:
            lines += ["[customers]", f'withdrawal = "{self.mesh.revoke}"']
        return "\n".join(lines) + "\n"

    async def start_instance(self):
        listener = socket.create_server(self.address("app"), backlog=512)
        if self.receive_buffer:
            # Accepted connections inherit it.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        limit = self.receive_buffer or 1 << 20
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=limit)

    async def report(self, state="ready"):
        self.seq += 1
        await self.mesh.store.put(f"servers/{self.id}", {
            "service": self.service, "address": "%s:%d" % self.address("app"), "zone": ZONE,
            "version": "v1", "slots": self.slots, "state": state, "cold_left": "0ms",
            "seq": self.seq, "born": self.born})

    def start_daemon(self, first_start=True):
        file = os.path.join(self.mesh.folder, f"{self.name}.conf")
        with open(file, "w") as f:
            f.write(self.settings(first_start))
        log = open(os.path.join(self.mesh.folder, f"{self.name}.log"), "a")
        self.process = subprocess.Popen(
            [DAEMON, "--settings", file], cwd=ROOT, stdout=log, stderr=log,
            env={k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ})
        self.mesh.processes.append(self.process)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.address("ready"))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200" in line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def serve(self, reader, writer):
        """Serves one connection of the instance."""
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                request = Request(self, line, headers, reader, writer)
                expected = headers.get("endivescale-expect-instance")
                if expected not in (None, self.id):
                    await request.drain_body()
                    await request.reply(421, run=False)
                elif request.path == "/healthz":
                    await request.reply(200, run=False)
                else:
                    await self.handler(request)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Request:
    """A request at an instance."""

    def __init__(self, vm, line, headers, reader, writer):
        self.vm, self.headers, self.reader, self.writer = vm, headers, reader, writer
        self.method, self.path, _ = line.split(" ")
        self.id = headers.get("endivescale-request-id", "-")
        self.body_bytes, self.pace = 0, lambda: 0

    def on_data(self, data):
        self.body_bytes += len(data)

    async def drain_body(self):
        await read_body(self.reader, self.headers, self.on_data, self.pace)

    def head(self, status, run=True, extra=""):
        stamp = f"Endivescale-Server-Stamp: {self.vm.id}.{self.id}\r\n" if run else ""
        not_run = "Endivescale-Not-Executed: 1\r\n" if status == 503 else ""
        return (f"HTTP/1.1 {status} X\r\nEndivescale-Request-Id: {self.id}\r\n{stamp}{not_run}"
                f"Endivescale-Instance-Id: {self.vm.id}\r\n{extra}").encode()

    async def reply(self, status, body=b"", run=True):
        self.writer.write(self.head(status, run, f"Content-Length: {len(body)}\r\n\r\n") + body)
        await self.writer.drain()


class Mesh:
    def __init__(self, folder, grace=6, revoke=None):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="mesh-")
        self.net = random.randint(20, 250)
        self.grace, self.revoke = grace, revoke
        self.vms, self.processes = [], []
        names = ["outbound", "inbound", "ready", "operator", "control", "app"]
        self.ports = dict(zip(names, free_ports(f"127.{self.net}.1.1", len(names))))
        self.store = Store(f"127.{self.net}.0.1", self.record)

    def add_vm(self, service, handler, slots=43):
        vm = Vm(self, len(self.vms) + 1, service, handler, slots)
        self.vms.append(vm)
        return vm

    async def start(self, config):
        if not os.path.exists(os.path.join(ROOT, DAEMON)):
            raise CannotRun("the daemon is not built")
        await self.store.start()
        await self.store.put("op/config", config)
        for vm in self.vms:
            await vm.start_instance()
            await vm.report()
            vm.start_daemon()
        for _ in range(200):
            if all([await vm.is_ready() for vm in self.vms]):
                break
            await asyncio.sleep(0.05)
        else:
            raise CannotRun("the daemons are not ready")
        await asyncio.sleep(1)
        self.record(f"ready: {[(vm.name, vm.service, vm.id) for vm in self.vms]}")

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, host, prefix, service, timeout_ms, attempts=2, priority=0, aim_ms=1500):
    return {"host": host, "route_rules": [{
        "name": name, "kind": kind, "target_latency": f"{aim_ms}ms", "priority": priority,
        "match": {"path_prefix": prefix},
        "action": {"service": service, "timeout": f"{timeout_ms}ms", "max_attempts": attempts}}]}


def config(version, listeners, services):
    """A configuration as `fleetbench wire` shows it, limits included."""
    return {"version": version, "base_version": 0, "listeners": listeners,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout": "3000ms", "idle_timeout": "15000ms"},
            "clusters": [{"name": name, "health_check": "/healthz", "max_conns": 358,
                          "protocol": "h1", "tls": False} for name in services]}


async def read_answer(reader):
    """Reads an answer; returns status, headers, body, and whether it is complete."""
    line, headers = await read_head(reader)
    status, body = int(line.split(" ")[1]), bytearray()
    try:
        await read_body(reader, headers, body.extend)
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, headers, bytes(body), False
    return status, headers, bytes(body), True


def new_id():
    return f"{random.getrandbits(64):016x}"


def run(main, folder):
    """Runs `main(mesh)`; exits with 1 if it returns a list of breaches, 0 if it is empty."""
    async def whole():
        mesh = Mesh(folder)
        try:
            return mesh, await asyncio.wait_for(main(mesh), 110)
        finally:
            mesh.stop()

    try:
        mesh, breaches = asyncio.run(whole())
    except Exception as err:  # whatever fails here says nothing about the rule
        print(f"cannot run: {err!r}")
        sys.exit(2)
    for breach in breaches:
        mesh.record(f"BROKEN {breach}")
        print(f"BROKEN {breach}")
    mesh.record(f"breaches: {len(breaches)}")
    print("held" if not breaches else f"broken: {len(breaches)}")
    sys.exit(1 if breaches else 0)
