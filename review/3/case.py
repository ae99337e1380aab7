"""Peers whose keyed requests name the key among the headers of their connection, and servers that drop repeats by key."""

import socket
import struct
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins import *  # noqa: E402,F403

SENDERS, LASTS = 3, 8.0  # of each kind
WINDOW = 4.0  # contribution-post: all plan servers drop a repeat for 4 s


class Ledger:
    """What the plan servers together have run. They drop a repeat of a key."""

    def __init__(self):
        self.lock, self.keys, self.runs, self.keyless = threading.Lock(), {}, {}, []

    def run(self, contribution, key):
        """Runs a contribution unless it is a repeat; whether it has come for the first time."""
        with self.lock:
            now = time.monotonic()
            is_repeat = key is not None and now - self.keys.get(key, -WINDOW) < WINDOW
            is_first = contribution not in self.runs
            if key is None:
                self.keyless.append(contribution)
            elif not is_repeat:
                self.keys[key] = now
            if not is_repeat:
                self.runs[contribution] = self.runs.get(contribution, 0) + 1
            return is_first


class Server(PlanServer):
    def __init__(self, name, record, ledger):
        self.ledger = ledger
        super().__init__(name, record, self.post)

    def post(self, connection, request, headers, body):
        contribution = int(body.split()[-1])
        key = headers.get("idempotency-key")
        is_first = self.ledger.run(contribution, key)
        self.record(f"{self.name} contribution {contribution} key {key}: {'runs' if is_first else 'comes again'}")
        time.sleep(0.02)
        if is_first and contribution % 2:
            # The connection is reset under a request that has begun.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return "close"
        connection.sendall(whole("200 OK", self.answer_for(request)))
        return "stay"


def run(record):
    ledger = Ledger()
    servers = [Server(f"s-{number}", record, ledger) for number in range(4)]
    hosts = [server.entry() for server in servers]
    sidecar = Sidecar(Discovery(hosts), hosts, record, 48, 384)
    until = time.monotonic() + LASTS
    lock, numbers, improper, served = threading.Lock(), [0], set(), [0]

    def sender(number, is_proper):
        while time.monotonic() < until:
            with lock:
                numbers[0] += 1
                contribution = numbers[0]
                if not is_proper:
                    improper.add(contribution)
            body = f"contribution {contribution}".encode()
            options = "close" if is_proper or not TROUBLE else "close, Idempotency-Key"
            request, head = request_head("contribution-post", 900, more=(
                f"Connection: {options}\r\nContent-Length: {len(body)}\r\n"))
            try:
                with socket.create_connection(("127.0.0.1", sidecar.port), 2) as connection:
                    connection.settimeout(1.5)
                    connection.sendall(head + b"\r\n" + body)
                    message = read_message(connection.makefile("rb"))
            except OSError as error:
                message = (repr(error),)
            record(f"sender {number} {request} contribution {contribution}, Connection: {options}: {message}")
            served[0] += bool(message and message[0].startswith("HTTP/1.1 200 "))
            time.sleep(0.1)

    threads = [threading.Thread(target=sender, args=(number, number < SENDERS)) for number in range(2 * SENDERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    twice = [contribution for contribution, runs in ledger.runs.items() if runs > 1]
    of_proper = [contribution for contribution in twice if contribution not in improper]
    record(f"served: {served[0]}; reached a plan server without the key that was sent: {len(ledger.keyless)}; "
           f"run more than once: {len(twice)}, of senders with a proper head: {len(of_proper)}")
    crashed = not sidecar.is_running()
    sidecar.end()
    if served[0] == 0:
        return NOT_RUN
    return BROKEN if ledger.keyless or twice or crashed else HELD


main(run, FOLDER)
