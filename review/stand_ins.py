"""Stand-ins for the platform, discovery, plan servers and clients, on loopback addresses. Used by the cases' scripts."""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The settings of the example in WIRE-harelock.md, section 14.
SETTINGS = {
    "allowed": {"cancel": True, "connect_timeout": 250.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 8000,
                "keepalive": 60000.0, "max_attempts": 6, "max_retry_after": 2000.0, "may_duplicate": True,
                "most_held": 20000, "multiplex": 1, "peers": False, "probes": True, "retry_after": True},
    "azs": ["seattle", "portland", "spokane"],
    "callers": {"marks_retry": True},
    "classes": [
        {"aim": 600.0, "dedup_scope": "all", "effect": "once", "hard_limit": 1500.0, "importance": 10.0,
         "late_worth": 0.0, "name": "statement-issue", "stream": False, "window": 5000.0},
        {"aim": 500.0, "dedup_scope": "all", "effect": "by_key", "hard_limit": 2000.0, "importance": 30.0,
         "late_worth": 0.0, "name": "contribution-post", "stream": False, "window": 4000.0}],
    "counted_by": "work", "family": "mesh", "family_info": {"warm_keys": True},
    "fees": {"connection": 0.0, "cross_zone": 0.02, "handshake": 0.0, "late_fail": 0.03, "membership_mode": 0.0,
             "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0094, "waste": 0.05},
    "invariants": {"answer_slack": 20.0, "cold_share": 0.31, "drain_grace": 3000.0, "fall": 2000.0,
                   "fall_multiple": 3.0, "must_ask_in": 10000.0, "warm_up": 8400.0},
    "kinds": ["fast", "standard", "slow"], "layer": 0, "membership_mode": "subscribe",
    "objective_mix": {"whole": 0.4, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.3},
    "over_share_worth": 0.1, "peers_total": 4, "period": 5.0, "rank": 0,
    "telemetry": {"columns": ["inflight", "util", "qps"], "how": "pull"},
    "tenants": [], "tiers": ["plan-servers"], "weights": "rough", "zone": 0}


class Record:
    """What was sent, answered and run, a line each, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")
            self.file.flush()


def listen():
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(1024)
    return sock


def read_message(reader):
    """The first line, the headers and the body of a message with a length; None at the end of the connection."""
    line = reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = reader.readline()
        if header == b"\r\n":
            break
        if not header:
            return None
        name, value = header.decode("latin1").split(":", 1)
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = reader.read(length) if length else b""
    return None if len(body) < length else (line.decode("latin1").strip(), headers, body)


class StandIn:
    """Accepts connections and serves each on a thread of its own."""

    def __init__(self):
        self.listener = listen()
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.guarded, args=(connection,), daemon=True).start()

    def guarded(self, connection):
        try:
            self.serve(connection, connection.makefile("rb"))
        except OSError:
            pass
        finally:
            connection.close()


def whole(status, body, more=""):
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


class PlanServer(StandIn):
    """A sound plan server; `work` makes the answer, and by default the server answers after 20 ms."""

    def __init__(self, name, record, work=None):
        self.name, self.record, self.work = name, record, work or self.serve_at_once
        self.made = {}
        super().__init__()

    def entry(self):
        return {"host": self.name, "dial": f"127.0.0.1:{self.port}", "site": "seattle", "class": "standard",
                "block": 3, "health": "ready", "share": 3.0, "born_ms": 0}

    def serve(self, connection, reader):
        while message := read_message(reader):
            line, headers, body = message
            if line.startswith(("GET /metrics/load ", "GET /alive ")):
                connection.sendall(whole("200 OK", b"TEXT inflight=1, util=0.10, qps=10"))
                continue
            request = headers.get("x-request-id", "?")
            self.record(f"{self.name} got {request} {line}")
            if self.work(connection, request, headers, body) == "close":
                return

    def answer_for(self, request):
        body = f"made by {self.name} for {request}".encode()
        self.made.setdefault(request, []).append(body)
        return body

    def serve_at_once(self, connection, request, _headers, _body):
        time.sleep(0.02)
        connection.sendall(whole("200 OK", self.answer_for(request)))


class Discovery(StandIn):
    """Gives the whole list on every watch, and an empty line every 2 s."""

    def __init__(self, hosts):
        self.hosts = hosts
        super().__init__()

    def serve(self, connection, reader):
        if read_message(reader) is None:
            return

        def chunk(data):
            connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))

        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        chunk(json.dumps({"seq": 41, "whole": True, "hosts": self.hosts}).encode() + b"\n")
        while True:
            time.sleep(1.9)
            chunk(b"\n")


class Sidecar:
    """The platform's side of one sidecar: its configuration, its process, its end."""

    started = []

    def __init__(self, discovery, hosts, record, memory_mb, sockets, settings=None):
        with listen() as free:
            self.port = free.getsockname()[1]
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.memory_mb, self.record = memory_mb, record
        config = {"name": "n3", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery.port}",
                  "seed": os.urandom(8).hex(),
                  "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                  "known": {"seq": 41, "whole": True, "hosts": hosts}, "settings": settings or SETTINGS}
        path = Path(self.folder) / "config.json"
        path.write_text(json.dumps(config))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.log = open(Path(self.folder) / "log", "wb")
        environment = dict(os.environ, ROUTER_CONFIG=str(path), ROUTER_NAME="n3", TMPDIR=self.folder,
                           ROUTER_LISTEN=config["listen"], ROUTER_DISCOVERY=config["discovery"])
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log)
        Sidecar.started.append(self)
        self.wait_until_ready()

    def wait_until_ready(self):
        until = time.monotonic() + 30
        while time.monotonic() < until and self.process.poll() is None:
            try:
                with socket.create_connection(("127.0.0.1", self.port), 1) as probe:
                    probe.sendall(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                    if probe.recv(100).startswith(b"HTTP/1.1 200 "):
                        return
            except OSError:
                pass
            time.sleep(0.02)
        raise RuntimeError("the sidecar did not become ready")

    def memory(self):
        """The memory of the process's own in MB; pages of the program's file do not count."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        kilobytes = {line.split(":")[0]: line.split()[1] for line in status.splitlines() if line.startswith("Rss")}
        return (int(kilobytes["RssAnon"]) + int(kilobytes["RssShmem"])) / 1024

    def is_running(self):
        return self.process.poll() is None

    def kill(self):
        self.process.send_signal(signal.SIGKILL)

    def end(self):
        if self.is_running():
            self.process.terminate()
            try:
                self.process.wait(4)
            except subprocess.TimeoutExpired:
                self.kill()
        self.process.wait()
        self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def request_head(name, time_ms, request=None, more=""):
    """A client's id and the head of its request, without the empty line."""
    request = request or os.urandom(8).hex()
    key = f"Idempotency-Key: {os.urandom(16).hex()}\r\n" if name == "contribution-post" else ""
    return request, (f"POST /{name}?k={request} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {request}\r\n"
                     f"X-Priority-Class: {name}\r\nX-Timeout-Ms: {time_ms}\r\n{key}{more}").encode()


class Client:
    """A sound client: one request at a time, on a connection that it keeps."""

    def __init__(self, port):
        self.port, self.connection = port, None

    def ask(self, name, time_ms, body=b"a contribution"):
        """Sends a request: its id, the status and body of the answer (None without one), and what went wrong."""
        request, head = request_head(name, time_ms, more=f"Content-Length: {len(body)}\r\n")
        is_reused = self.connection is not None
        try:
            if self.connection is None:
                self.connection = socket.create_connection(("127.0.0.1", self.port), 2)
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.reader = self.connection.makefile("rb")
            # Up to half a second after its time an answer only earns nothing; 50 ms are the slack of sockets.
            self.connection.settimeout(time_ms / 1000 + 0.55)
            self.connection.sendall(head + b"\r\n" + body)
            message = read_message(self.reader)
        except OSError as error:
            self.close()
            return request, None, None, f"{error!r} reused={is_reused}"
        if message is None:
            self.close()
            return request, None, None, f"closed without an answer reused={is_reused}"
        line, headers, answer = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return request, int(line.split()[1]), answer, None

    def close(self):
        if self.connection is not None:
            self.reader.close()
            self.connection.close()
            self.connection = None


def main(run, folder):
    """Runs a case and exits with its verdict; a case that could not run exits with 2."""
    record = Record(folder)
    record("with the disruption" if TROUBLE else "without the disruption")

    def out_of_time(*_):
        raise TimeoutError("the case took too long")

    signal.signal(signal.SIGTERM, out_of_time)
    try:
        verdict = run(record)
    except Exception as error:  # whatever it is, the case has shown nothing
        record(f"could not run: {error!r}")
        verdict = NOT_RUN
    for sidecar in Sidecar.started:
        if sidecar.is_running():
            sidecar.end()
    record({HELD: "verdict: held", BROKEN: "verdict: broken", NOT_RUN: "verdict: could not run"}[verdict])
    sys.stdout.flush()
    os._exit(verdict)
