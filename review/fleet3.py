"""Stand-ins of the cases 11 to 15: an operator, upstreams and clients, and the start of the project's
own programs as the deploy file does it. Standard library only; loopback addresses only."""

import asyncio
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

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "auburnbridge")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotRun(Exception):
    """The case couldn't be brought to the point at which the rule is checked."""


def free_port():
    with socket.socket() as sock:
        sock.bind((f"{NET}.1", 0))
        return sock.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Fleet:
    """Control keepers and gateways as separate processes with the settings of the deploy file."""

    def __init__(self, record, controls=3, gateways=1, grace="6s", zones=("zone-a",), extra=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.zones = zones
        self.grace = grace
        self.extra = extra or {}
        self.control_port, self.caller_port, self.readiness_port = free_port(), free_port(), free_port()
        self.peer_port, self.keeper_port = free_port(), free_port()
        self.controls = [f"{NET}.{10 + n}" for n in range(controls)]
        self.gateways = [f"{NET}.{50 + n}" for n in range(gateways)]
        self.seeds = [f"{ip}:{self.control_port}" for ip in self.controls[:3]]
        self.processes = {}
        self.gone = set()

    def start(self):
        for n, ip in enumerate(self.controls):
            self.start_control(n, founds=n == 0)
        for n, ip in enumerate(self.gateways):
            self.start_gateway(n)

    def start_control(self, n, founds=False):
        ip = self.controls[n]
        data = os.path.join(self.folder, f"data-{n}")
        os.makedirs(data, exist_ok=True)
        self._start(f"control-{n}", "control", {
            "vm_address": ip, "data_centre": self.zones[n % len(self.zones)],
            "peer_port": self.keeper_port, "control_address": f"{ip}:{self.control_port}",
            "data_folder": data, "seeds": self.seeds, "founds_group": founds,
            "tolerated_losses": 1, "replacement_limit": "4s",
            "metrics_address": f"{ip}:{self.peer_port}"})

    def start_gateway(self, n):
        ip = self.gateways[n]
        settings = {
            "vm_address": ip, "data_centre": self.zones[n % len(self.zones)],
            "caller_address": f"{ip}:{self.caller_port}",
            "readiness_address": f"{ip}:{self.readiness_port}", "peer_port": self.peer_port,
            "keeper_port": self.keeper_port, "seeds": self.seeds, "stop_limit": self.grace,
            "vm_memory": "624MiB", "floor_share": 0.7, "resend_share": 0.2, "resend_allowance": 60,
            "resend_window": "10s", "link_rate": "2400.0Mbit/s",
            "metrics_address": f"{ip}:{self.peer_port}"}
        settings.update(self.extra)
        self._start(f"gateway-{n}", "gateway", settings)

    def _start(self, name, role, settings):
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        if not os.path.exists(PROGRAM):
            raise NotRun("the release build is missing")
        self.processes[name] = subprocess.Popen(
            [PROGRAM, role, "--settings", path], cwd=self.folder, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        self.record(f"start {name} pid {self.processes[name].pid}")

    def signal(self, name, number):
        self.record(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def operator(self, method, path, body=None, first=0, limit_s=15, log=True):
        """Calls one control node after the other until one gives a clear answer."""
        end = time.monotonic() + limit_s
        n = first
        while time.monotonic() < end:
            nodes = [ip for ip in self.controls if ip not in self.gone]
            address = (nodes[n % len(nodes)], self.control_port)
            n += 1
            try:
                status, headers, data = await asyncio.wait_for(call(address, method, path, body), 1.0)
            except (OSError, asyncio.TimeoutError, EOFError, ValueError):
                await asyncio.sleep(0.1)
                continue
            if status < 500 and status not in (408, 429, 307):
                if log:
                    self.record(f"{method} {path} at {address[0]}: {status}")
                return status, data
            await asyncio.sleep(0.1)
        return None, b""

    async def publish(self, document, limit_s=15):
        status, data = await self.operator("PUT", "/config", json.dumps(document), limit_s=limit_s)
        self.record(f"configuration {document['version']}: {status} {data[:200]!r}")
        return status

    async def is_ready(self, n):
        try:
            answer = await asyncio.wait_for(
                call((self.gateways[n], self.readiness_port), "GET", "/readiness", None), 1.0)
            return answer[0] == 200
        except (OSError, asyncio.TimeoutError, EOFError, ValueError):
            return False


def configuration(version, rules, services, host="shop.example", **more):
    document = {
        "version": f"{version:08x}",
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms",
                   "idle_timeout": "15000ms"},
        "listeners": [{"host": host, "rules": rules}],
        "clusters": [{"name": name, "health_path": "/health", "max_conns": 330, "protocol": "h1",
                      "tls": False} for name in services]}
    document.update(more)
    return document


def rule(prefix, service, kind="unsafe", timeout="6000ms", latency="1500ms", attempts=2, priority=1):
    return {"name": "r-" + prefix.strip("/"), "kind": kind, "target_latency": latency,
            "priority": priority, "match": {"path_prefix": prefix},
            "action": {"service": service, "timeout": timeout, "max_attempts": attempts}}


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.read() if until_close else b""


async def read_answer(reader):
    line, headers = await read_head(reader)
    status = int(line.split(" ")[1])
    return status, headers, await read_body(reader, headers, until_close=True)


async def call(address, method, path, body, headers=""):
    reader, writer = await asyncio.open_connection(*address)
    try:
        data = (body or "").encode()
        writer.write((f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nConnection: close\r\n{headers}"
                      f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n").encode() + data)
        return await read_answer(reader)
    finally:
        writer.close()


class Upstream:
    """A sound upstream: works on `slots` requests at once, queues a few more, drops a request when its
    connection closes and stops at the deadline it was given."""

    def __init__(self, record, name, service, ip, slots=4, queue=16, work_s=0.5, zone="zone-a"):
        self.record, self.name, self.service, self.ip = record, name, service, ip
        self.slots, self.queue, self.work_s, self.zone = slots, queue, work_s, zone
        self.port = free_port()
        self.state, self.seq = "ready", 0
        self.born = int(time.time() * 1000)
        self.waiting = self.busy = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = []  # (seconds, attempt id, path)
        self.arrivals = []  # (seconds, attempt id, path)
        self.answered = set()
        self.leaving = False
        self.beats = None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def work_time(self, path):
        return self.work_s

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ")
                body = await read_body(reader, headers)
                if not await self.answer(reader, writer, method, path, headers, body):
                    break
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def reply(self, writer, status, headers, body=b""):
        reason = {200: "OK", 503: "Service Unavailable", 421: "Misdirected Request",
                  504: "Gateway Timeout"}.get(status, "X")
        close = "Connection: close\r\n" if self.leaving else ""
        writer.write((f"HTTP/1.1 {status} {reason}\r\n{headers}{close}"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)

    async def answer(self, reader, writer, method, path, headers, body):
        if path == "/health":
            self.reply(writer, 503 if self.leaving else 200, f"Instance-Id: {self.name}\r\n")
            return not self.leaving
        attempt = headers.get("attempt-id", "")
        echo = f"Attempt-Id: {attempt}\r\n"
        now = self.record.now()
        expected = headers.get("expect-instance", self.name)
        if expected != self.name:
            self.record(f"{self.name} 421 {attempt} {path}")
            self.reply(writer, 421, echo + "Not-Executed: 1\r\n")
            return True
        self.arrivals.append((now, attempt, path))
        deadline = now + int(headers.get("deadline-ms", "60000")) / 1000
        if self.waiting >= self.queue:
            self.record(f"{self.name} sheds {attempt} {path}")
            self.reply(writer, 503, echo + "Not-Executed: 1\r\n")
            return True
        self.record(f"{self.name} gets {attempt} {path} deadline {headers.get('deadline-ms')}")
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), max(0.0, deadline - now))
        except asyncio.TimeoutError:
            self.reply(writer, 503, echo + "Not-Executed: 1\r\n")
            return True
        finally:
            self.waiting -= 1
        try:
            self.busy += 1
            self.runs.append((self.record.now(), attempt, path))
            self.record(f"{self.name} runs {attempt} {path}")
            left = deadline - self.record.now()
            work = self.work_time(path)
            # A closed connection drops the request.
            gone = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({gone}, timeout=min(work, max(left, 0)))
            if done:
                self.record(f"{self.name} drops {attempt}: connection closed")
                return False
            gone.cancel()
            try:
                await gone
            except asyncio.CancelledError:
                pass
            if left < work:
                self.reply(writer, 504, echo + "Upstream-Seal: s\r\n")
            else:
                self.reply(writer, 200, echo + f"Upstream-Seal: {self.name}.{attempt}\r\n",
                           f"{self.name} {attempt}".encode())
            await writer.drain()
            self.answered.add(attempt)
            self.record(f"{self.name} answered {attempt}")
        finally:
            self.busy -= 1
            self.free.release()
        return not self.leaving

    async def announce(self, fleet, limit_s=5):
        self.seq += 1
        body = {"address": f"{self.ip}:{self.port}", "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                "status": {"state": self.state, "seq_no": self.seq, "warmup_remaining": "0ms"}}
        quiet = self.seq > 1 and self.state == "ready"
        status, data = await fleet.operator("PUT", f"/instances/{self.name}", json.dumps(body),
                                      first=random.randrange(len(fleet.controls)), limit_s=limit_s,
                                      log=not quiet)
        return status

    async def beat(self, fleet):
        """Sends heartbeats until cancelled."""
        while True:
            await self.announce(fleet)
            await asyncio.sleep(1.5)

    async def drain(self, fleet):
        """Announces the departure; returns the time of the acknowledgement."""
        if self.beats:
            self.beats.cancel()
        self.state, self.leaving = "draining", True
        status = await self.announce(fleet)
        now = self.record.now()
        self.record(f"{self.name} draining acknowledged: {status}")
        if status != 200:
            raise NotRun("draining wasn't acknowledged")
        return now

    def begin(self, fleet):
        self.beats = asyncio.ensure_future(self.beat(fleet))


async def send(record, address, method, path, attempt, deadline_ms, host="shop.example", body=b"x",
               connection=None, headers=""):
    """One client attempt. Returns (status or None, seconds from its last byte to the end, headers, body)."""
    try:
        reader, writer = connection or await asyncio.wait_for(asyncio.open_connection(*address), 1)
    except (OSError, asyncio.TimeoutError):
        record(f"client {attempt} couldn't connect")
        return "unconnected", 0.0, {}, b""
    length = "" if method == "GET" else f"Content-Length: {len(body)}\r\n"
    writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {attempt}\r\n"
                  f"Deadline-Ms: {deadline_ms}\r\n{headers}{length}\r\n").encode()
                 + (b"" if method == "GET" else body))
    try:
        await writer.drain()
    except OSError:
        pass
    sent = record.now()
    record(f"client {attempt} {method} {path}")
    result = (None, 0.0, {}, b"")
    try:
        status, headers, data = await asyncio.wait_for(read_answer(reader), deadline_ms / 1000)
        result = (status, record.now() - sent, headers, data)
        record(f"client {attempt}: {status} after {result[1]:.3f} s")
    except asyncio.TimeoutError:
        result = ("deadline", record.now() - sent, {}, b"")
        record(f"client {attempt}: gave up at its deadline")
    except (OSError, EOFError, ValueError, IndexError) as err:
        result = (None, record.now() - sent, {}, b"")
        record(f"client {attempt}: connection ended without an answer after {result[1]:.3f} s ({err!r})")
    finally:
        if connection is None:
            writer.close()
    return result


async def eventually(what, limit_s, check):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if await check():
            return
        await asyncio.sleep(0.1)
    raise NotRun(what)


def main(case, folder):
    def end(number, frame):
        raise SystemExit(NOT_RUN)
    signal.signal(signal.SIGTERM, end)
    record = Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")
    fleet_box = []
    try:
        code = asyncio.run(asyncio.wait_for(case(record, fleet_box), 115))
    except (NotRun, asyncio.TimeoutError) as err:
        record(f"not run: {err!r}")
        code = NOT_RUN
    except BaseException as err:
        record(f"not run: {err!r}")
        for fleet in fleet_box:
            fleet.stop()
        raise SystemExit(NOT_RUN)
    for fleet in fleet_box:
        fleet.stop()
    record({BROKEN: "BROKEN", HELD: "HELD", NOT_RUN: "NOT RUN"}[code])
    raise SystemExit(code)
