"""Peers that stop in the middle of a request, in small chunks, and the sidecar's memory."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins import *  # noqa: E402,F403

MEMORY_MB, SOCKETS = 32, 256  # as of the sidecars in page3600 of REPORTS-harelock.md
PEERS, ROUNDS = 30, 2  # at once: an eighth of the descriptors, of which clients may use a third
CHUNKS = 60_000  # of one byte: less than the 64 KiB that a body may hold; 360 kB on the wire
CLIENTS, LASTS = 5, 12.0


def peer(sidecar, record, number):
    """Sends most of a request, stops and stays until it is let go."""
    request, head = request_head("contribution-post", 1000, more="Transfer-Encoding: chunked\r\n\r\n")
    begun = time.monotonic()
    try:
        with socket.create_connection(("127.0.0.1", sidecar.port), 2) as connection:
            connection.settimeout(6)
            connection.sendall(head + b"1\r\nx\r\n" * CHUNKS)
            said = connection.recv(100)
    except OSError as error:
        said = repr(error).encode()
    record(f"peer {number} {request}: after {time.monotonic() - begun:.2f} s: {said[:30]!r}")


def run(record):
    servers = [PlanServer(f"s-{number}", record) for number in range(4)]
    hosts = [server.entry() for server in servers]
    sidecar = Sidecar(Discovery(hosts), hosts, record, MEMORY_MB, SOCKETS)
    until = time.monotonic() + LASTS
    killed, peak, lost = [], [0.0], []

    def platform():
        # DEPLOY: "Over `memory_mb` the sidecar is killed."
        while time.monotonic() < until and sidecar.is_running():
            try:
                memory = sidecar.memory()
            except OSError:
                return
            peak[0] = max(peak[0], memory)
            if memory > MEMORY_MB:
                sidecar.kill()
                killed.append(memory)
                record(f"platform: the sidecar holds {memory:.1f} MB, over {MEMORY_MB}: killed")
                return
            time.sleep(0.01)

    def client(number):
        asks = Client(sidecar.port)
        for turn in range(10_000):
            if time.monotonic() > until or killed:
                return
            name, limit = [("statement-issue", 700), ("contribution-post", 900)][turn % 2]
            request, status, answer, trouble = asks.ask(name, limit)
            record(f"client {number} {request} {name}: {status} {answer!r} {trouble or ''}")
            # A request that crosses the end of a resting connection is no loss; this client never rests for long.
            if status is None:
                lost.append(request)
            time.sleep(0.05)

    threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    threads.append(threading.Thread(target=platform))
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    for _ in range(ROUNDS if TROUBLE else 0):
        peers = [threading.Thread(target=peer, args=(sidecar, record, number)) for number in range(PEERS)]
        for thread in peers:
            thread.start()
        for thread in peers:
            thread.join()
    for thread in threads:
        thread.join()
    crashed = not sidecar.is_running()
    record(f"most memory: {peak[0]:.1f} MB of {MEMORY_MB}; crashed: {crashed}; requests without an answer: {lost}")
    sidecar.end()
    return BROKEN if crashed or lost else HELD


main(run, FOLDER)
