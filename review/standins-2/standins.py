"""Stand-ins of the users' platform for the cases 6 to 10: the metadata store, instances, clients,
and the processes of the deploy file. They speak what PROTOCOL.md says, on loopback addresses.

All of them live in one asyncio loop, so that one clock gives all times in the record.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **facts):
        words = " ".join(f"{key}={value}" for key, value in facts.items())
        self.file.write(f"{self.now():9.3f} {event} {words}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads a head; returns its first line and its headers, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(status, reason, headers, body):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def free_ports(addresses, count):
    """Returns ports that are free at all of the addresses."""
    found = []
    port = 20000 + os.getpid() % 9000
    while len(found) < count:
        port += 1
        sockets = []
        try:
            for address in addresses:
                probe = socket.socket()
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sockets.append(probe)
                probe.bind((address, port))
            found.append(port)
        except OSError:
            pass
        finally:
            for probe in sockets:
                probe.close()
    return found


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()
        self.is_silent = False
        self.calls = 0
        self.log_calls = False

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    def put(self, key, value):
        """Writes an item; the return is the store's confirmation."""
        self.revision += 1
        text = base64.b64encode(value if isinstance(value, bytes) else json.dumps(value).encode())
        item = {"key": key, "value": text.decode(), "revision": self.revision,
                "created": self.items.get(key, {}).get("created", self.revision), "lease": 0}
        self.items[key] = item
        self.events.append(item)
        self.wake()

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.events.append({"key": key, "revision": self.revision, "removed": True})
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                answer = await self.answer(head[0].split(" ")[1], writer)
                # A connection on which a response is lost returns nothing further.
                if answer is None or self.is_silent:
                    await reader.read()
                    return
                status, body = answer
                await asyncio.sleep(0.004)
                writer.write(encode(status, "-", [("Content-Type", "application/json")],
                                    json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, target, writer):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        self.calls += 1
        if self.log_calls:
            source = writer.get_extra_info("peername")[0]
            self.record.write("store-call", source=source, target=target, silent=self.is_silent)
        if self.is_silent:
            return None
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if url.path == "/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "current_rev": self.revision}
        if url.path == "/kv-watch":
            prefix, after = query.get("path_prefix", ""), int(query["after"])
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [event for event in self.events
                          if event["revision"] > after and event["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
                if self.is_silent:
                    return None
        return 404, {}


class Broken(bytes):
    """The start of an answer that breaks off there, with its connection."""


class Instance:
    """One application instance beside a daemon."""

    def __init__(self, record, store, name, service, host, port, zone, slots, work_s, queue=0):
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.host, self.port = host, port
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.busy = 0
        self.arrivals = []
        self.runs = {}
        self.writers = set()
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.write_entry()
        return self

    def write_entry(self):
        # An instance that only beats changes nothing but `seq`, which is no change of its entry.
        self.seq += 1
        self.store.put(f"servers/{self.name}", {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_left": "0ms",
            "seq": self.seq, "born": self.born})

    def drain(self):
        """Reports that the instance leaves; returns when the store has confirmed it."""
        self.state = "draining"
        self.write_entry()
        self.record.write("draining-confirmed", instance=self.name)
        return self.record.now()

    def exit(self, removes_entry=True):
        """Ends the process: nothing listens any more, and all connections end."""
        self.record.write("instance-exits", instance=self.name, running=self.busy)
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        if removes_entry:
            self.store.remove(f"servers/{self.name}")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                rsp = await self.answer(line, headers, body)
                if rsp is None:
                    return
                writer.write(rsp)
                await writer.drain()
                if isinstance(rsp, Broken):
                    return
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def answer(self, line, headers, body):
        name = headers.get("endivescale-request-id")
        if name is None:
            return encode(400, "Bad Request", [("Endivescale-Not-Executed", "1")], b"")
        echo = [("Endivescale-Request-Id", name)]
        expected = headers.get("endivescale-expect-instance")
        if expected not in (None, self.name):
            self.record.write("misdirected", instance=self.name, request=name)
            return encode(421, "Misdirected Request",
                          echo + [("Endivescale-Instance-Id", self.name)], b"")
        self.arrivals.append((self.record.now(), name))
        self.record.write("reaches", instance=self.name, request=name, busy=self.busy)
        deadline = time.monotonic() + int(headers.get("endivescale-deadline-ms", "60000")) / 1000
        if self.busy >= self.slots + self.queue:
            self.record.write("rejected", instance=self.name, request=name)
            return encode(503, "Service Unavailable", echo + [("Endivescale-Not-Executed", "1")], b"")
        self.busy += 1
        self.runs[name] = self.runs.get(name, 0) + 1
        self.record.write("runs", instance=self.name, request=name)
        try:
            return await self.run(line, headers, body, name, echo, deadline)
        finally:
            self.busy -= 1

    async def run(self, line, headers, body, name, echo, deadline):
        left = deadline - time.monotonic()
        await asyncio.sleep(min(self.work_s, max(left, 0)))
        status = (200, "OK") if left >= self.work_s else (504, "Gateway Timeout")
        self.record.write("run-ends", instance=self.name, request=name, status=status[0])
        stamp = [("Endivescale-Server-Stamp", f"{self.name}.{name}")]
        return encode(*status, echo + stamp, f"{self.name} {name}\n".encode())


async def request(record, host, port, method, target, headers, body=b"", timeout=10.0, source=None):
    """Sends one request on a new connection; returns status, headers and body, or a word."""
    writer = None
    try:
        local = (source, 0) if source else None
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port, local_addr=local), 1.0)
        lines = [f"{method} {target} HTTP/1.1"] + [f"{key}: {value}" for key, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

        async def read():
            head = await read_head(reader)
            if head is None:
                return "closed"
            status = int(head[0].split(" ")[1])
            try:
                return status, head[1], await read_body(reader, head[1])
            except asyncio.IncompleteReadError:
                return "cut"

        return await asyncio.wait_for(read(), timeout)
    except asyncio.TimeoutError:
        return "timeout"
    except (ConnectionError, OSError):
        return "failed"
    finally:
        if writer is not None:
            writer.close()


async def pipeline(record, host, port, requests, timeout):
    """Sends requests without bodies together on a new connection. Each is an entry that gets its
    status, a method, a target and headers; answers come in the order of the requests."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1.0)
        for _, method, target, headers in requests:
            lines = [f"{method} {target} HTTP/1.1"] + [f"{key}: {value}" for key, value in headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")

        async def read():
            for entry, *_ in requests:
                head = await read_head(reader)
                if head is None:
                    return
                await read_body(reader, head[1])
                entry["status"] = int(head[0].split(" ")[1])
                entry["answered"] = record.now()
                record.write("answered", request=entry["name"], status=entry["status"])

        await asyncio.wait_for(read(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        pass
    finally:
        if writer is not None:
            writer.close()


class Kept:
    """A connection that a client keeps for several exchanges, each of requests sent together."""

    def __init__(self, record, host, port):
        self.record, self.host, self.port = record, host, port
        self.reader = self.writer = None

    async def exchange(self, requests, timeout):
        """Sends requests without bodies together. Each is an entry that gets its status, a target
        and headers. Requests that get no answer have the status of the connection's end."""
        ending = "failed"
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.host, self.port), 1.0)
            for _, target, headers in requests:
                lines = [f"GET {target} HTTP/1.1"] + [f"{key}: {value}" for key, value in headers]
                self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            ending = "closed"
            await asyncio.wait_for(self.read(requests), timeout)
        except asyncio.TimeoutError:
            ending = "timeout"
            self.close()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            self.close()
        for entry, *_ in requests:
            if entry["status"] is None:
                entry["status"] = ending
                self.record.write("unanswered", request=entry["name"], ending=ending)

    async def read(self, requests):
        for entry, *_ in requests:
            head = await read_head(self.reader)
            if head is None:
                raise ConnectionError
            await read_body(self.reader, head[1])
            entry["status"] = int(head[0].split(" ")[1])
            self.record.write("answered", request=entry["name"], status=entry["status"])
            if head[1].get("connection") == "close":
                raise ConnectionError

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def render(template, fields):
    """Fills in the deploy file's template as DEPLOY.md tells, as far as this template needs it."""
    def lookup(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = lookup(match.group(1))
        if isinstance(value, dict):
            return "".join(match.group(2).replace("{{@}}", key).replace("{{.}}", str(entry))
                           for key, entry in value.items())
        return match.group(2) if value else ""

    def text(match):
        value = lookup(match.group(1))
        if value is None:
            return ""
        return str(value).lower() if isinstance(value, bool) else str(value)

    template = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", text, template)


class Machine:
    """One machine of the platform with its daemon."""

    def __init__(self, deployment, name, host, service, zone, bootstrap=True):
        self.deployment, self.name, self.host = deployment, name, host
        self.service, self.zone = service, zone
        self.process = None
        self.write_settings(bootstrap)

    def write_settings(self, bootstrap):
        d = self.deployment
        fields = {
            "node_name": self.name, "service": self.service, "zone": self.zone,
            "region": "central", "ip": self.host,
            "app_addr": f"{self.host}:{d.app_port}",
            "listen": {"inbound": f"{self.host}:{d.inbound}",
                       "outbound": f"{self.host}:{d.outbound}", "ready": f"{self.host}:{d.ready}"},
            "internal_ports": [d.internal_1, d.internal_2],
            "zones": {zone: "central" for zone in d.zones},
            "platform": {"address": f"{d.store_host}:{d.store_port}"},
            "bounds": d.bounds, "bootstrap": bootstrap,
        }
        self.settings = os.path.join(d.folder, f"{self.name}.toml")
        with open(os.path.join(ROOT, "deploy", "endivescaled.toml")) as file:
            text = render(file.read(), fields)
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self):
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "a")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        run = self.deployment.run.replace("/etc/endivescale/boot.conf", self.settings)
        self.process = subprocess.Popen(run.split(), cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        log.close()
        self.deployment.record.write("daemon-starts", machine=self.name, pid=self.process.pid)

    def signal(self, number):
        self.deployment.record.write("signal", machine=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        d = self.deployment
        rsp = await request(d.record, self.host, d.ready, "GET", "/ready",
                            [("Host", self.host)], timeout=1.0)
        return isinstance(rsp, tuple) and rsp[0] == 200


class Deployment:
    """The machines, the store and the bounds of a small installation (tgs-mesh)."""

    BOUNDS = {"grace": "6s", "retry_budget_ratio": 0.2, "budget_slack": 47, "budget_window": "10s"}

    def __init__(self, folder, hosts):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.run = tomllib.load(file)["roles"]["endivescaled"]["run"]
        if not os.access(os.path.join(ROOT, self.run.split()[0]), os.X_OK):
            raise FileNotFoundError(self.run)
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = os.environ.get("KEEP_LOGS") or self.temporary.name
        self.zones = ["ulaanbaatar-a", "khovd-a", "choibalsan-a"]
        self.bounds = dict(self.BOUNDS)
        self.hosts = hosts
        self.store_host = "127.0.77.250"
        ports = free_ports(hosts + [self.store_host], 7)
        (self.inbound, self.app_port, self.ready, self.outbound, self.store_port,
         self.internal_1, self.internal_2) = ports
        self.store = Store(self.record)
        self.machines = []

    async def start_store(self):
        await self.store.start(self.store_host, self.store_port)

    def add(self, name, host, service, zone, bootstrap=True):
        machine = Machine(self, name, host, service, zone, bootstrap)
        self.machines.append(machine)
        return machine

    async def wait_ready(self, machines, seconds=15.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await machine.is_ready() for machine in machines]):
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        self.record.close()
        self.temporary.cleanup()


class Traffic:
    """Requests at a steady rate, each sent by a client of its own."""

    def __init__(self, record, rate):
        self.record, self.rate, self.factor = record, rate, 1.0
        self.sent = 0
        self.statuses = {}
        self.in_progress = set()

    def start(self, send):
        self.generator = asyncio.ensure_future(self.generate(send))

    async def generate(self, send):
        loop = asyncio.get_running_loop()
        at = loop.time()
        while True:
            self.sent += 1
            task = asyncio.ensure_future(self.one(send, self.sent))
            self.in_progress.add(task)
            task.add_done_callback(self.in_progress.discard)
            at += 1 / (self.rate * self.factor)
            await asyncio.sleep(max(0, at - loop.time()))

    async def one(self, send, number):
        name, rsp = await send(number)
        status = rsp[0] if isinstance(rsp, tuple) else rsp
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.record.write("answered", request=name, status=status)

    async def stop(self):
        self.generator.cancel()
        await asyncio.gather(*self.in_progress)


def route(name, host, prefix, kind, service, timeout, objective, priority, attempts=2):
    return {"name": name, "kind": kind, "target_latency": objective, "priority": priority,
            "host": host, "match": {"path_prefix": prefix},
            "action": {"service": service, "timeout": timeout, "max_attempts": attempts}}


def config(version, routes, services):
    hosts = {}
    for entry in routes:
        entry = dict(entry)
        hosts.setdefault(entry.pop("host"), []).append(entry)
    return {
        "version": version,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout": "3000ms", "idle_timeout": "15000ms"},
        "base_version": version - 1,
        "listeners": [{"host": host, "route_rules": rules} for host, rules in hosts.items()],
        "clusters": [{"name": service, "health_check": "/healthz", "max_conns": 358,
                      "protocol": "h1", "tls": False} for service in services]}


def run(main):
    """Runs a case and exits with its result, or with 2 if it couldn't run. Connections that are
    still open are not waited for."""
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda loop, cx: None)
    task = loop.create_task(main())
    # At the end of its time the case still ends the processes that it has started.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        code = loop.run_until_complete(task)
    except (Exception, asyncio.CancelledError) as err:
        print(f"the case couldn't run: {err!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
