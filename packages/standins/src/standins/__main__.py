"""Command line of the stand-ins: ``python -m standins store ...``."""

import argparse
import os

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import eventlet.wsgi  # noqa: E402
import msgspec  # noqa: E402

from standins.backend_app import BackendApp  # noqa: E402
from standins.backend_server import BackendServer  # noqa: E402
from standins.delay_link import DelayLink, Location, Network  # noqa: E402
from standins.instance_list_app import InstanceListApp  # noqa: E402
from standins.load_generator import LoadGenerator  # noqa: E402
from standins.load_plan import LoadPlan, LoadSample  # noqa: E402
from standins.store_app import StoreApp  # noqa: E402
from standins.wsgi_tools import Application  # noqa: E402


def main() -> None:
    """Run one kind of stand-in, or generate load."""
    parser = argparse.ArgumentParser(prog="standins")
    subparsers = parser.add_subparsers(dest="kind", required=True)
    store = subparsers.add_parser("store")
    store.add_argument("--port", type=int, required=True)
    instances = subparsers.add_parser("instance-list")
    instances.add_argument("--port", type=int, required=True)
    instances.add_argument("--lag-s", type=float, default=1.0)
    backends = subparsers.add_parser("backends")
    backends.add_argument(
        "--target",
        action="append",
        required=True,
        metavar="NAME:PORT:SLOTS:SERVICE_MS",
    )
    backends.add_argument("--cold-s", type=float, default=0.0)
    load = subparsers.add_parser("load")
    load.add_argument("--plan", required=True, help="a JSON LoadPlan")
    load.add_argument("--out", required=True, help="receives JSON lines")
    links = subparsers.add_parser("links")
    links.add_argument(
        "--target",
        action="append",
        required=True,
        metavar="LISTEN_IP:PORT:FAILURE_DOMAIN:REGION",
    )
    links.add_argument(
        "--instance",
        action="append",
        required=True,
        metavar="SOURCE_IP:FAILURE_DOMAIN:REGION",
    )
    links.add_argument("--domain-delay-s", type=float, required=True)
    links.add_argument("--region-delay-s", type=float, required=True)
    links.add_argument("--bytes-per-s", type=float, required=True)
    arguments = parser.parse_args()
    match arguments.kind:
        case "store":
            _serve(StoreApp(), arguments.port)
        case "instance-list":
            _serve(InstanceListApp(arguments.lag_s), arguments.port)
        case "load":
            _send_load(arguments.plan, arguments.out)
        case "links":
            _serve_links(
                Network(
                    domain_delay_s=arguments.domain_delay_s,
                    region_delay_s=arguments.region_delay_s,
                    bytes_per_s=arguments.bytes_per_s,
                ),
                arguments.instance,
                arguments.target,
            )
        case _:
            _serve_backends(arguments.target, arguments.cold_s)


def _serve_backends(targets: list[str], cold_s: float) -> None:
    threads = []
    for text in targets:
        name, port, slots, service_ms = text.rsplit(":", 3)
        app = BackendApp(name, int(slots), float(service_ms) / 1000, cold_s)
        server = BackendServer(app, int(port))
        threads.append(eventlet.spawn(server.run))
    for thread in threads:
        thread.wait()


def _send_load(plan_path: str, out_path: str) -> None:
    with open(plan_path, "rb") as file:
        plan: LoadPlan = msgspec.json.decode(file.read(), type=LoadPlan)
    samples: list[LoadSample] = []
    LoadGenerator(plan, samples.append).run()
    with open(out_path, "wb") as file:
        file.write(msgspec.json.Encoder().encode_lines(samples))


def _serve_links(
    network: Network, instances: list[str], targets: list[str]
) -> None:
    locations = {}
    for text in instances:
        source, domain, region = text.split(":")
        locations[source] = Location(region=region, failure_domain=domain)
    link = DelayLink(network, locations)
    threads = []
    for text in targets:
        listen_ip, port, domain, region = text.split(":")
        listener = eventlet.listen((listen_ip, int(port)))
        threads.append(
            eventlet.spawn(
                link.serve,
                listener,
                ("127.0.0.1", int(port)),
                Location(region=region, failure_domain=domain),
            )
        )
    for thread in threads:
        thread.wait()


def _serve(app: Application, port: int) -> None:
    listener = eventlet.listen(("127.0.0.1", port))
    eventlet.wsgi.server(
        listener, app, log_output=False, debug=False, max_size=4096
    )


if __name__ == "__main__":
    main()
