"""Starts and stops a deployment on loopback: the store's stand-in, and a
stand-in target and a daemon for each instance."""

import json
import os
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

START_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.02


class Failure(Exception):
    """A step failed or timed out."""


def wait_for(what, condition, timeout_s):
    """Polls condition() until its value is true, and returns the value."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise Failure(f"timed out after {timeout_s} s: {what}")


def read_file(path):
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except FileNotFoundError:
        return ""


def http(method, address, path, body=None, headers=None, timeout_s=5.0):
    """Makes an HTTP request. Returns (status, headers, body bytes)."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, method=method,
        headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def http_json(method, address, path, value=None):
    body = json.dumps(value).encode() if value is not None else None
    status, _, text = http(method, address, path, body)
    if status >= 300:
        raise Failure(f"{method} {path}: status {status}: {text[:200]!r}")
    return json.loads(text) if text else None


class Process:
    """A child process that writes to a log file."""

    def __init__(self, name, arguments, directory):
        self.name = name
        self.log = os.path.join(directory, f"{name}.log")
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def is_running(self):
        return self.popen.poll() is None

    def send_signal(self, number):
        if self.is_running():
            self.popen.send_signal(number)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise Failure(f"{self.name} did not stop") from error

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.popen.wait(STOP_TIMEOUT_S)


class Instance:
    """A target and its daemon."""

    intervals = {"config_poll_ms": 200, "members_poll_ms": 200}

    def __init__(self, cluster, name, zone, service):
        self.cluster = cluster
        self.name = name
        self.zone = zone
        self.service = service
        self.target = None
        self.daemon = None
        self.addresses = None
        self.target_address = None
        self.starts = 0

    def path(self, suffix):
        return os.path.join(self.cluster.directory, f"{self.name}.{suffix}")

    def start_daemon(self, same_addresses=False):
        """Starts the daemon on new ports or on its previous ones."""
        listen = {"http": "127.0.0.1:0", "rpc": "127.0.0.1:0",
                  "announce": "127.0.0.1:0"}
        if same_addresses:
            listen.update(self.addresses)
        settings = {
            "instance": self.name, "zone": self.zone,
            "region": self.cluster.region,
            "http": {"listen": listen["http"],
                     "advertise": listen["http"]},
            "rpc": {"listen": listen["rpc"],
                     "advertise": listen["rpc"]},
            "announce": {"listen": listen["announce"]},
            "store": {"address": self.cluster.store_address},
            "log": {"level": self.cluster.log_level},
            "limits": {"memory_mb": 64, "drain_max_ms": 10000},
            "intervals": self.intervals,
        }
        with open(self.path("settings.json"), "w", encoding="utf-8") as file:
            json.dump(settings, file)
        addresses = self.path("addresses")
        if os.path.exists(addresses):
            os.remove(addresses)
        self.daemon = Process(f"{self.name}.daemon", [
            self.cluster.program("chestnutgapd"),
            "--settings", self.path("settings.json"),
            "--addresses-file", addresses], self.cluster.directory)
        text = wait_for(f"{self.name} listens",
                        lambda: read_file(addresses), START_TIMEOUT_S)
        self.addresses = json.loads(text)

    def start_target(self, cold_start_ms=None):
        port_file = self.path("port")
        if os.path.exists(port_file):
            os.remove(port_file)
        declared = self.cluster.declared(self.service)
        self.starts += 1
        cold = declared["cold_start_ms"] if cold_start_ms is None \
            else cold_start_ms
        arguments = [
            self.cluster.program("target_standin"),
            "--service", self.service, "--listen", "127.0.0.1:0",
            "--port-file", port_file,
            "--announce", self.addresses["announce"],
            "--slots", str(declared["slots"]),
            "--connections", str(declared["connections"]),
            "--cold-limit", str(declared["cold_limit"]),
            "--cold-start-ms", str(cold),
            "--latency-us", str(self.cluster.latency_us),
            "--ledger-file", self.path(f"ledger.{self.starts}"),
        ]
        if declared["targets_check_grants"]:
            arguments.append("--check-grants")
        self.target = Process(f"{self.name}.target", arguments,
                              self.cluster.directory)
        port = wait_for(f"{self.name}'s target listens",
                        lambda: read_file(port_file).strip(),
                        START_TIMEOUT_S)
        self.target_address = f"127.0.0.1:{port}"

    def ledger(self):
        """Executions of all targets of this instance, from their files."""
        rows = []
        for start in range(1, self.starts + 1):
            for line in read_file(self.path(f"ledger.{start}")).splitlines():
                try:
                    rows.append(json.loads(line))
                except ValueError:
                    continue  # a killed target may leave a partial last line
        return rows

    def get_json(self, name):
        return http_json("GET", self.addresses["http"],
                         f"/chestnutgap/{name}")


class Cluster:
    """A deployment with its own temporary directory."""

    def __init__(self, build, state_file, region, log_level="info",
                 latency_us=2000):
        self.build = build
        self.region = region
        self.log_level = log_level
        self.latency_us = latency_us
        self.directory = tempfile.mkdtemp(prefix="chestnutgap-")
        with open(state_file, encoding="utf-8") as file:
            self.state = json.load(file)
        self.instances = []
        self.store = None
        self.store_address = None
        self.load_processes = []

    def program(self, name):
        return os.path.join(self.build, name)

    def declared(self, service):
        for declared in self.state["services"]:
            if declared["name"] == service:
                targets = {"cold_start_ms": 0, "cold_limit": 2}
                targets.update(declared.get("targets", {}))
                targets.update(declared)
                return targets
        raise Failure(f"service {service} is not declared")

    def start_store(self):
        port_file = os.path.join(self.directory, "store.port")
        self.store = Process("store", [
            self.program("store_standin"), "--listen", "127.0.0.1:0",
            "--port-file", port_file], self.directory)
        port = wait_for("the store listens",
                        lambda: read_file(port_file).strip(),
                        START_TIMEOUT_S)
        self.store_address = f"127.0.0.1:{port}"

    def add_instance(self, name, zone, service):
        instance = Instance(self, name, zone, service)
        self.instances.append(instance)
        return instance

    def start_instances(self):
        for instance in self.instances:
            instance.start_daemon()
        for instance in self.instances:
            instance.start_target()

    def ctl(self, *arguments, check=True):
        """Runs chestnutgapctl. Returns (exit code, standard output)."""
        completed = subprocess.run(
            [self.program("chestnutgapctl"), "--store", self.store_address,
             *arguments], capture_output=True, text=True, timeout=30,
            check=False)
        if check and completed.returncode != 0:
            raise Failure(f"chestnutgapctl {' '.join(arguments)}: exit "
                          f"{completed.returncode}: "
                          f"{completed.stderr.strip()}")
        return completed.returncode, completed.stdout

    def apply(self, change=None):
        """Applies the declared state and waits until it is in force."""
        if change:
            change(self.state)
        path = os.path.join(self.directory, "state.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.state, file)
        self.ctl("apply", path, "--wait")

    def set_zone_out(self, name, out):
        def change(state):
            for zone in state["zones"]:
                if zone["name"] == name:
                    zone["out"] = out
        self.apply(change)

    def instance(self, name):
        for instance in self.instances:
            if instance.name == name:
                return instance
        raise Failure(f"no instance {name}")

    def live(self):
        return [i for i in self.instances
                if i.daemon is not None and i.daemon.is_running()]

    def stop(self):
        """Kills all processes of the deployment."""
        processes = list(self.load_processes)
        for instance in self.instances:
            processes += [p for p in (instance.daemon, instance.target) if p]
        if self.store:
            processes.append(self.store)
        for process in processes:
            process.kill()

    def remove(self):
        """Deletes the directory, including the logs."""
        shutil.rmtree(self.directory, ignore_errors=True)
