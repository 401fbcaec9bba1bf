"""A small deployment that consists of processes on this machine."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import urllib3

from standins.deployment_settings import (
    DeploymentSettings,
    build_deployment_settings,
    list_targets,
    target_location,
)
from standins.deployments import Deployment

BOOTSTRAP_TOKEN = "bootstrap-token-of-the-demo"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
_STORE_PORT_OFFSET = 0
_LIST_PORT_OFFSET = 1
_INSTANCE_PORT_OFFSET = 10
_TARGET_PORT_OFFSET = 100
# Address at which the relay listens on the targets' ports.
_RELAY_IP = "127.0.0.2"


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceAddresses:
    """Location and addresses of an entry instance.

    :ivar caller: address for callers.
    :ivar admin: address for operators.
    :ivar bus: address for other instances.
    """

    name: str
    region: str
    failure_domain: str
    caller: str
    admin: str
    bus: str


class LocalDeployment:
    """Starts, disturbs and stops the processes of one deployment.

    :param base_port: first of about 200 ports on 127.0.0.1.
    :param instances: number of entry instances.
    :param log_directory: receives a log file for each process.
    :param cold_s: duration of the cold start of targets.
    :param links: whether a relay between instances and targets simulates the
        delays and rates of the deployment's network. The relay uses CPU
        time, so measurements of CPU time omit it.
    :param instance_settings: further environment variables of the instances.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        base_port: int,
        instances: int,
        log_directory: Path,
        cold_s: float = 0.0,
        links: bool = False,
        instance_settings: Mapping[str, str] | None = None,
    ) -> None:
        self._has_links = links
        self._instance_settings = dict(instance_settings or {})
        self.deployment = deployment
        self._base_port = base_port
        self._log_directory = log_directory
        self._cold_s = cold_s
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._http = urllib3.PoolManager(retries=False)
        self.store_url = f"http://127.0.0.1:{base_port + _STORE_PORT_OFFSET}"
        self.instance_list_url = (
            f"http://127.0.0.1:{base_port + _LIST_PORT_OFFSET}"
        )
        self.target_ports = {
            name: base_port + _TARGET_PORT_OFFSET + index
            for index, (name, _, _) in enumerate(list_targets(deployment))
        }
        self.instances = {
            f"e{number}": self._addresses(number)
            for number in range(1, instances + 1)
        }
        self.settings: DeploymentSettings = build_deployment_settings(
            deployment,
            self.target_ports,
            _RELAY_IP if links else "127.0.0.1",
        )

    def start(self) -> None:
        """Start all processes and import the settings."""
        self._log_directory.mkdir(parents=True, exist_ok=True)
        self.start_platform()
        for name in self.instances:
            self.start_instance(name)
        self.wait_until_ready()
        self.import_settings()

    def start_platform(self) -> None:
        """Start the stand-ins: store, instance list, targets and relay."""
        self._start_stand_in(
            "store", ["store", "--port", _port_of(self.store_url)]
        )
        self._start_stand_in(
            "instance-list",
            ["instance-list", "--port", _port_of(self.instance_list_url)],
        )
        arguments = ["backends", "--cold-s", str(self._cold_s)]
        for name, slots, service_s in list_targets(self.deployment):
            port = self.target_ports[name]
            arguments += [
                "--target",
                f"{name}:{port}:{slots}:{service_s * 1000}",
            ]
        self._start_stand_in("backends", arguments)
        if self._has_links:
            self._start_stand_in("links", self._link_arguments())
        self._wait_until(lambda: self._is_ok(f"{self.store_url}/v1/version/x"))
        self._wait_until(
            lambda: self._is_ok(f"{self.instance_list_url}/v1/instances")
        )

    def start_instance(self, name: str) -> None:
        """Start an entry instance and add it to the instance list."""
        address = self.instances[name]
        self.put(
            f"{self.instance_list_url}/admin/instances/{name}",
            {"kind": "entry", "state": "live", "bus_address": address.bus},
        )
        environment = os.environ | {
            "VERBENAD_NAME": name,
            "VERBENAD_DEPLOYMENT": self.deployment.name,
            "VERBENAD_REGION": address.region,
            "VERBENAD_FAILURE_DOMAIN": address.failure_domain,
            "VERBENAD_CALLER_ADDRESS": address.caller,
            "VERBENAD_ADMIN_ADDRESS": address.admin,
            "VERBENAD_BUS_ADDRESS": address.bus,
            "VERBENAD_STORE_URL": self.store_url,
            "VERBENAD_INSTANCES_URL": self.instance_list_url,
            "VERBENAD_BOOTSTRAP_TOKEN": BOOTSTRAP_TOKEN,
            **self._instance_settings,
        }
        if self._has_links:
            environment |= {
                "VERBENAD_TARGET_SOURCE_IP": self._source_ip(name),
                "VERBENAD_DOMAIN_DELAY_S": str(self.deployment.domain_delay_s),
                "VERBENAD_REGION_DELAY_S": str(self.deployment.region_delay_s),
            }
        self._start_process(name, ["-m", "verbenad"], environment)

    def wait_until_ready(self, names: list[str] | None = None) -> float:
        """Wait until instances are ready; return how many seconds it took."""
        started_s = time.monotonic()
        for name in names or list(self.instances):
            url = f"http://{self.instances[name].caller}/readyz"
            self._wait_until(partial(self._is_ok, url))
        return time.monotonic() - started_s

    def import_settings(self) -> None:
        """Import the deployment's settings with ``verbena``."""
        path = self._log_directory / "settings.json"
        path.write_text(json.dumps(self.settings.to_import()))
        self.verbena("import", str(path), "--restore-access", "--wait")

    def verbena(self, *arguments: str) -> str:
        """Run the operators' command line and return its output.

        :raises RuntimeError: if it fails.
        """
        result = self.run_verbena(*arguments)
        if result.returncode:
            raise RuntimeError(
                f"verbena {' '.join(arguments)} exited with "
                f"{result.returncode}: {result.stdout}{result.stderr}"
            )
        return result.stdout

    def run_verbena(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line and return its completed process."""
        return subprocess.run(
            [sys.executable, "-m", "verbena", *arguments],
            env=os.environ
            | {
                "VERBENA_INSTANCES": ",".join(
                    address.admin
                    for name, address in self.instances.items()
                    if self.is_running(name)
                ),
                "VERBENA_TOKEN": BOOTSTRAP_TOKEN,
            },
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def is_running(self, name: str) -> bool:
        """Return whether a process is running."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def log_lines(self, name: str) -> list[str]:
        """Return the lines that a process has logged so far."""
        return (self._log_directory / f"{name}.log").read_text().splitlines()

    def pid(self, name: str) -> int:
        """Return the process id of a running process."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """Kill a process immediately, like a crash."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a paused process."""
        self._processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> subprocess.Popen[bytes]:
        """Ask a process to shut down gracefully; do not wait for its end."""
        process = self._processes[name]
        process.terminate()
        return process

    def stop(self) -> None:
        """Kill all processes that this object started."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait(STOP_TIMEOUT_S)
        self._processes.clear()

    def put(self, url: str, body: object) -> object:
        """Send JSON to a stand-in's administration page."""
        response = self._http.request("PUT", url, json=body, timeout=5.0)
        return response.json()

    def get_json(self, url: str) -> object:
        """Return the JSON of a stand-in's page."""
        return self._http.request("GET", url, timeout=5.0).json()

    def region_of(self, name: str) -> str:
        """Return the region of a target by ``service/target``."""
        service, target = name.split("/")
        path = f"/services/{service}/targets/{target}"
        return str(self.settings.branches[path]["region"])

    def accepts_connections(self, name: str) -> bool:
        """Return whether a target's port accepts connections."""
        return self._is_ok(f"{self.target_url(name)}/admin/peak")

    def target_url(self, name: str) -> str:
        """Return the base URL of a target by ``service/target``."""
        return f"http://127.0.0.1:{self.target_ports[name]}"

    def set_store_faults(self, **faults: object) -> None:
        """Set the faults of the store; without arguments, clear them."""
        self.put(f"{self.store_url}/admin/faults", faults)

    def set_target_faults(self, name: str, **faults: object) -> None:
        """Set the faults of a target; without arguments, clear them."""
        self.put(f"{self.target_url(name)}/admin/faults", faults)

    def _link_arguments(self) -> list[str]:
        deployment = self.deployment
        arguments = [
            "links",
            "--domain-delay-s",
            str(deployment.domain_delay_s),
            "--region-delay-s",
            str(deployment.region_delay_s),
            "--bytes-per-s",
            str(deployment.link_bytes_per_s),
        ]
        for name, address in self.instances.items():
            location = f"{address.failure_domain}:{address.region}"
            arguments += ["--instance", f"{self._source_ip(name)}:{location}"]
        for name, port in self.target_ports.items():
            number = int(name.rpartition("/t")[2])
            domain, region = target_location(deployment, number)
            arguments += [
                "--target",
                f"{_RELAY_IP}:{port}:{domain}:{region}",
            ]
        return arguments

    def _source_ip(self, name: str) -> str:
        """Return the address by which the relay identifies an instance."""
        return f"127.0.1.{name[1:]}"

    def _addresses(self, number: int) -> InstanceAddresses:
        domains = self.deployment.failure_domains
        # Distributes instances over regions first, then over failure domains.
        index = 2 * (number - 1) + (number - 1) // 3
        domain, region = domains[index % len(domains)]
        port = self._base_port + _INSTANCE_PORT_OFFSET + 4 * number
        return InstanceAddresses(
            name=f"e{number}",
            region=region,
            failure_domain=domain,
            caller=f"127.0.0.1:{port}",
            admin=f"127.0.0.1:{port + 1}",
            bus=f"127.0.0.1:{port + 2}",
        )

    def _start_stand_in(self, name: str, arguments: list[str]) -> None:
        self._start_process(
            name, ["-m", "standins", *arguments], dict(os.environ)
        )

    def _start_process(
        self, name: str, arguments: list[str], environment: dict[str, str]
    ) -> None:
        with (self._log_directory / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _is_ok(self, url: str) -> bool:
        try:
            response = self._http.request("GET", url, timeout=1.0)
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def _wait_until(self, is_done: object) -> None:
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            if callable(is_done) and is_done():
                return
            time.sleep(0.02)
        raise TimeoutError(
            f"not ready after {START_TIMEOUT_S} s; see the logs in"
            f" {self._log_directory}"
        )


def _port_of(url: str) -> str:
    return url.rpartition(":")[2]
