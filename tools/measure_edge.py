"""Compares the HTTP server and the forwarder with a bare proxy.

The bare proxy is eventlet's WSGI server with urllib3's PoolManager. Both run
in their own processes against the same stand-in backend server, and the
same load comes from a separate process: 8 callers with open connections that
send a fixed number of requests. Rounds alternate between the proxies. All
traffic stays on 127.0.0.1.

Usage: measure_edge.py [--requests N] [--rounds N] [--json FILE]
"""

import argparse
import importlib
import json
import os
import socket
import statistics
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

CALLERS = 8
TARGET_RATIO = 1.3
# Processor time per request that is left for routing, which is not measured.
ROUTING_ALLOWANCE_US = 60.0
_RESPONSE_BODY = b"x" * 1024
_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b'Cache-Control: max-age=5\r\nETag: "40-7"\r\nServer: standin\r\n'
    b"Date: Fri, 04 Dec 2026 05:00:00 GMT\r\nContent-Length: %d\r\n\r\n"
    % len(_RESPONSE_BODY)
) + _RESPONSE_BODY
_COMMON_HEADERS = (
    b"Host: catalogue\r\nUser-Agent: measure/1\r\nAccept: */*\r\n"
    b"Accept-Encoding: gzip\r\nAccept-Language: sw\r\n"
    b"X-Verbena-Key: k-0123456789abcdef0123456789abcdef\r\n"
    b"X-Request-Deadline-Ms: 5000\r\nCookie: session=0123456789abcdef\r\n"
)
_REQUESTS = {
    "get": b"GET /week/40?page=2 HTTP/1.1\r\n" + _COMMON_HEADERS + b"\r\n",
    "post": b"POST /orders HTTP/1.1\r\n"
    + _COMMON_HEADERS
    + b"Content-Type: application/json\r\nContent-Length: 1024\r\n\r\n"
    + b"y" * 1024,
}
_HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "te", "trailer", "transfer-encoding"}
)


def _announce(port: int) -> None:
    print(json.dumps({"port": port}), flush=True)


def run_backend() -> None:
    """Run a backend server that responds with the same 1 KiB body."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    _announce(listener.getsockname()[1])
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(
            target=_serve_connection, args=(sock,), daemon=True
        ).start()


def _serve_connection(sock: socket.socket) -> None:
    buffer = b""
    with sock:
        while True:
            while b"\r\n\r\n" not in buffer:
                data = sock.recv(65536)
                if not data:
                    return
                buffer += data
            head, _, buffer = buffer.partition(b"\r\n\r\n")
            length = 1024 if head.startswith(b"POST") else 0
            while len(buffer) < length:
                data = sock.recv(65536)
                if not data:
                    return
                buffer += data
            buffer = buffer[length:]
            sock.sendall(_RESPONSE)


def run_bare(backend_port: int) -> None:
    """Run a proxy made of eventlet's WSGI server and PoolManager."""
    importlib.import_module("verbenad.monkey_patched")
    import eventlet
    import urllib3
    from eventlet import wsgi

    manager = urllib3.PoolManager(maxsize=64, retries=False)
    base = f"http://127.0.0.1:{backend_port}"

    def application(
        environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        headers = {
            name: value
            for name, value in environ["headers_raw"]
            if name.lower() not in _HOP_BY_HOP
        }
        query = environ.get("QUERY_STRING", "")
        url = base + environ["RAW_PATH_INFO"] + (f"?{query}" if query else "")
        length = int(environ.get("CONTENT_LENGTH") or 0)
        response = manager.request(
            environ["REQUEST_METHOD"],
            url,
            headers=headers,
            body=environ["wsgi.input"].read(length) if length else None,
            preload_content=False,
            decode_content=False,
            redirect=False,
        )
        start(
            f"{response.status} {response.reason}",
            [
                (name, value)
                for name, value in response.headers.items()
                if name.lower() not in _HOP_BY_HOP
            ],
        )
        return response.stream(65536)

    listener = eventlet.listen(("127.0.0.1", 0), backlog=256)
    _announce(listener.getsockname()[1])
    wsgi.server(listener, application, log_output=False, debug=False)


def run_edge(backend_port: int) -> None:
    """Run the project's HTTP server and forwarder."""
    importlib.import_module("verbenad.monkey_patched")
    import eventlet
    from result import Err, Ok

    from verbenad.forward_request import ForwardRequest
    from verbenad.forwarder import Forwarder
    from verbenad.http_server import HttpServer
    from verbenad.refusal import NOT_RUN, make_refusal
    from verbenad.upstream_pool import UpstreamPool

    forwarder = Forwarder(UpstreamPool())
    address = ("127.0.0.1", backend_port)

    def application(
        environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        head = environ["verbena.head"]
        body = environ["wsgi.input"]
        request = ForwardRequest(
            request_id="0123456789abcdef",
            method=head.method,
            target=head.target,
            host=head.host,
            headers=head.headers,
            body=body if body.exists else None,
            idempotent=head.method == "GET",
            cancellation=environ["verbena.caller"].cancellation,
        )
        match forwarder.attempt(
            request,
            address,
            time.monotonic() + 5.0,
            connection_limit=64,
            first_byte_timeout_s=2.0,
        ):
            case Ok(response):
                start(response.status_line, response.headers)
                return response.body
            case Err(failed):
                refusal = make_refusal(
                    failed.code, run=NOT_RUN, request_id="r"
                )
                content = refusal.body()
                start(refusal.status_line, refusal.headers(content))
                return [content]

    server = HttpServer(application, host="127.0.0.1", port=0)
    server.start()
    _announce(server.address[1])
    eventlet.Event().wait()


def run_load(port: int, kind: str, requests: int) -> None:
    """Send the requests over 8 connections and print the time taken."""
    failures: list[str] = []
    latencies_s: list[list[float]] = [[] for _ in range(CALLERS)]
    threads = [
        threading.Thread(
            target=_send_over_connection,
            args=(port, kind, requests, connection_latencies_s, failures),
        )
        for connection_latencies_s in latencies_s
    ]
    started_s = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed_s = time.perf_counter() - started_s
    merged = sorted(
        value
        for connection_latencies_s in latencies_s
        for value in connection_latencies_s
    ) or [0.0]
    print(
        json.dumps(
            {
                "taken_s": elapsed_s,
                "failures": failures,
                "p50_ms": merged[len(merged) // 2] * 1000,
                "p99_ms": merged[len(merged) * 99 // 100] * 1000,
            }
        )
    )


def _send_over_connection(
    port: int,
    kind: str,
    requests: int,
    latencies_s: list[float],
    failures: list[str],
) -> None:
    request = _REQUESTS[kind]
    with socket.create_connection(("127.0.0.1", port), 30.0) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(requests):
            started_s = time.perf_counter()
            sock.sendall(request)
            response = b""
            while not response.endswith(_RESPONSE_BODY):
                data = sock.recv(65536)
                response += data
                if not data or response.startswith(b"HTTP/1.1 5"):
                    failures.append(response[:40].decode("latin-1"))
                    return
            latencies_s.append(time.perf_counter() - started_s)


class _Role:
    """A child process that runs this script in one role."""

    def __init__(self, role: str, *arguments: object) -> None:
        self._process = subprocess.Popen(
            [sys.executable, __file__, "--role", role, *map(str, arguments)],
            stdout=subprocess.PIPE,
            text=True,
        )

    def result(self) -> Any:
        """Return the next JSON line of the process."""
        assert self._process.stdout is not None
        return json.loads(self._process.stdout.readline())

    def processor_s(self) -> float:
        """Return the processor time that the process has used."""
        fields = Path(f"/proc/{self._process.pid}/stat").read_text()
        user, system = fields.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    def close(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()
        assert self._process.stdout is not None
        self._process.stdout.close()


def start_bare(backend_port: int) -> _Role:
    """Start the bare proxy; its first result contains its port."""
    return _Role("bare", backend_port)


def _round(
    proxy: _Role, port: int, kind: str, requests: int
) -> dict[str, float]:
    before_s = proxy.processor_s()
    load = _Role("load", port, kind, requests)
    try:
        outcome = load.result()
    finally:
        load.close()
    if outcome["failures"]:
        raise SystemExit(f"the load process failed: {outcome['failures'][0]}")
    total = requests * CALLERS
    return {
        "processor_us": (proxy.processor_s() - before_s) / total * 1e6,
        "requests_per_s": total / outcome["taken_s"],
        "p50_ms": outcome["p50_ms"],
        "p99_ms": outcome["p99_ms"],
    }


def measure(requests: int, rounds: int) -> dict[str, Any]:
    """Measure both proxies and return the medians over the rounds."""
    backend = _Role("backend")
    started = [backend]
    try:
        backend_port = backend.result()["port"]
        proxies = {}
        for name in ("bare", "edge"):
            role = _Role(name, backend_port)
            started.append(role)
            proxies[name] = (role, role.result()["port"])
        report: dict[str, Any] = {}
        for kind in _REQUESTS:
            rounds_by_proxy: dict[str, list[dict[str, float]]] = {
                name: [] for name in proxies
            }
            for role, port in proxies.values():
                # Opens the connections and warms the caches.
                _round(role, port, kind, requests // 10 + 1)
            for _ in range(rounds):
                for name, (role, port) in proxies.items():
                    rounds_by_proxy[name].append(
                        _round(role, port, kind, requests)
                    )
            report[kind] = _summary(rounds_by_proxy)
        return report
    finally:
        for role in started:
            role.close()


def _summary(
    rounds_by_proxy: dict[str, list[dict[str, float]]],
) -> dict[str, Any]:
    summary: dict[str, Any] = {
        name: {
            figure: statistics.median(entry[figure] for entry in entries)
            for figure in entries[0]
        }
        for name, entries in rounds_by_proxy.items()
    }
    bare_us = summary["bare"]["processor_us"]
    edge_us = summary["edge"]["processor_us"]
    summary["ratio"] = edge_us / bare_us
    summary["ratio_with_routing"] = (edge_us + ROUTING_ALLOWANCE_US) / bare_us
    summary["room_for_routing_us"] = bare_us * TARGET_RATIO - edge_us
    summary["target_ratio"] = TARGET_RATIO
    summary["met"] = summary["ratio_with_routing"] <= TARGET_RATIO
    return summary


def _print_table(report: dict[str, Any]) -> None:
    print(
        f"{'load':6}{'proxy':8}{'CPU us/request':>16}{'requests/s':>12}"
        f"{'p50 ms':>9}{'p99 ms':>9}"
    )
    for kind, summary in report.items():
        for name in ("bare", "edge"):
            row = summary[name]
            print(
                f"{kind:6}{name:8}{row['processor_us']:16.0f}"
                f"{row['requests_per_s']:12.0f}"
                f"{row['p50_ms']:9.2f}{row['p99_ms']:9.2f}"
            )
        print(
            f"{kind}: ratio {summary['ratio']:.2f}, with"
            f" {ROUTING_ALLOWANCE_US:.0f} us of routing"
            f" {summary['ratio_with_routing']:.2f}, target"
            f" {TARGET_RATIO}: {'met' if summary['met'] else 'MISSED'};"
            f" room for routing {summary['room_for_routing_us']:.0f} us"
        )


def main() -> None:
    """Run one role, or measure and print the table."""
    if sys.argv[1:2] == ["--role"]:
        role, *arguments = sys.argv[2:]
        match role:
            case "backend":
                run_backend()
            case "bare":
                run_bare(int(arguments[0]))
            case "edge":
                run_edge(int(arguments[0]))
            case "load":
                run_load(int(arguments[0]), arguments[1], int(arguments[2]))
        return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=1000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    report = measure(options.requests, options.rounds)
    _print_table(report)
    if options.json:
        options.json.write_text(json.dumps(report, indent=2) + "\n")


if __name__ == "__main__":
    main()
