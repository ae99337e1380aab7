"""Answers of plan servers in a transfer coding that nobody asked for, or under a spoilt name of one."""

import gzip
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins import *  # noqa: E402,F403

CLIENTS, LASTS = 4, 8.0
EVERY = 4  # one answer of so many is spoilt


def chunked(body):
    return b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


def run(record):
    counted, lock = [0], threading.Lock()
    spoilt = {}

    def work(server):
        def answer(connection, request, _headers, _body):
            time.sleep(0.02)
            body = server.answer_for(request)
            with lock:
                counted[0] += 1
                number = counted[0]
            if not TROUBLE or number % EVERY:
                connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body))
                return "stay"
            # No request carries a `TE` header, so that no coding but `chunked` may be used.
            coding, sent = [("gzip, chunked", chunked(gzip.compress(body))),
                            ("chunkedd", chunked(body))][number // EVERY % 2]
            spoilt[request] = coding
            record(f"{server.name} answers {request} in the coding {coding!r} and closes")
            connection.sendall(f"HTTP/1.1 200 OK\r\nTransfer-Encoding: {coding}\r\n\r\n".encode() + sent)
            return "close"
        return answer

    servers = [PlanServer(f"s-{number}", record) for number in range(4)]
    for server in servers:
        server.work = work(server)
    hosts = [server.entry() for server in servers]
    sidecar = Sidecar(Discovery(hosts), hosts, record, 48, 384)
    until = time.monotonic() + LASTS
    foreign, served = {}, [0]

    def client(number):
        asks = Client(sidecar.port)
        turn = 0
        while time.monotonic() < until:
            turn += 1
            name, limit = [("statement-issue", 700), ("contribution-post", 900)][turn % 2]
            request, status, answer, trouble = asks.ask(name, limit)
            record(f"client {number} {request} {name}: {status} {answer!r} {trouble or ''}")
            if status == 200:
                served[0] += 1
                if not any(answer in server.made.get(request, []) for server in servers):
                    foreign[request] = spoilt.get(request)
                    record(f"no plan server made what {request} was served with")
            time.sleep(0.05)

    threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    by_coding = {coding: list(foreign.values()).count(coding) for coding in set(foreign.values())}
    record(f"served: {served[0]}; spoilt answers: {len(spoilt)}; served with what no plan server made: {by_coding}")
    crashed = not sidecar.is_running()
    sidecar.end()
    if served[0] == 0:
        return NOT_RUN
    return BROKEN if foreign or crashed else HELD


main(run, FOLDER)
