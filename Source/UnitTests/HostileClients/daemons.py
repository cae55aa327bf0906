"""The daemons and stand-ins of the tests of clients outside the limits."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.error
import urllib.request

START_S = 60
# Ordinary callers retry: a limit may refuse them for a moment.
ANSWER_S = 30
# Limits in the settings of the daemons, below those of a real machine, so that a
# small crowd exceeds them.
MEMORY_MB = 64
DESCRIPTORS = 200


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def http(port, path, body=None, headers=(), timeout=5):
    """Returns status and text of an answer; raises OSError without one."""
    call = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data=body,
                                  headers=dict(headers))
    try:
        with urllib.request.urlopen(call, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as failure:
        with failure:
            return failure.code, failure.read().decode()


def wait_for_answer(call, expected, limit_s, what):
    """Calls until the answer (status, text) has the status, or the text contains
    the string, that is expected."""
    deadline = time.monotonic() + limit_s
    seen = None
    while time.monotonic() < deadline:
        try:
            seen = call()
            if expected == seen[0] or (isinstance(expected, str) and
                                       expected in seen[1]):
                return
        except OSError as failure:
            seen = failure
        time.sleep(0.1)
    raise AssertionError(f"{what}: not within {limit_s} s, last: {seen}")


class Process:
    def __init__(self, command, log):
        self.log = log
        with open(log, "ab") as out:
            self.process = subprocess.Popen(command, stdout=out, stderr=out)

    def end(self):
        """Lets the process give back its seat; it may wait for a crowd's requests."""
        if self.alive():
            self.process.terminate()
        try:
            self.process.wait(timeout=2)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def alive(self):
        return self.process.poll() is None

    def peak_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        raise AssertionError("no VmHWM")

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


class DaemonTest(unittest.TestCase):
    """Checks a daemon under crowds. `daemon` is set by setUp() of the subclass."""

    daemon = None

    def folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def check(self, *crowds):
        """Sends the crowds, and checks the daemon while they are connected."""
        for crowd in crowds:
            self.addCleanup(crowd.close)
        for crowd in crowds:
            crowd.send()
            self.assertTrue(self.daemon.alive(), "the process has ended")
        # What has been sent may still be on its way to the process.
        time.sleep(0.5)
        descriptors = self.daemon.descriptors()
        self.check_ordinary()
        self.assertTrue(self.daemon.alive(), "the process has ended")
        peak = self.daemon.peak_mb()
        print(f"{self.id()}: peak {peak:.0f} MB, {descriptors} descriptors",
              file=sys.stderr)
        self.assertLess(peak, MEMORY_MB)
        self.assertLess(descriptors, DESCRIPTORS)

    def check_ordinary(self):
        raise NotImplementedError


class Deployment:
    """Stand-ins of the platform and of one group, which hosts of tillerd use."""

    def __init__(self, programs):
        self.programs = programs
        self.folder = tempfile.TemporaryDirectory()
        self.processes = []
        self.platform_port, *self.endpoint_ports = free_ports(4)
        self.config = self.path("config.json")
        self.key = None

    def path(self, name):
        return os.path.join(self.folder.name, name)

    def run(self, name, *command):
        process = Process(command, self.path(name + ".log"))
        self.processes.append(process)
        return process

    # Seats for more hosts than there are tests, each with a few slots: a host that
    # is killed keeps its seat for a minute.
    def start(self):
        endpoints = "".join(
            f'      - {{zone: zone-{zone}, address: "127.0.0.1:{port}"}}\n'
            for zone, port in zip("abc", self.endpoint_ports))
        with open(self.path("questionnaire.yaml"), "w", encoding="utf-8") as out:
            out.write(
                "service: test\nhosts_per_zone: 4\nzones:\n" +
                "".join(f"  - {{name: zone-{z}, region: r}}\n" for z in "abc") +
                "databases:\n  - name: test-1\n    slots: 48\n    connections: 240\n"
                f"    endpoints:\n{endpoints}"
                "workspaces:\n  - {name: acme, database: test-1, rate: 2400, "
                "burst: 2400, weight: 1}\n")
        subprocess.run([self.programs + "/tiller-generate", f"--config={self.config}",
                        "--keys=" + self.path("keys.txt"),
                        self.path("questionnaire.yaml")], check=True,
                       stdout=subprocess.DEVNULL)
        with open(self.path("keys.txt"), encoding="utf-8") as keys:
            self.key = keys.read().split()[-1]
        self.run("platform", self.programs + "/tiller-platform",
                 f"--port={self.platform_port}")
        with open(self.config, encoding="utf-8") as text:
            names = [e["name"] for g in json.load(text)["groups"]
                     for e in g["endpoints"]]
        for name, port in zip(names, self.endpoint_ports):
            self.run(name, self.programs + "/tiller-endpoint", f"--name={name}",
                     f"--port={port}", "--folder=" + self.path("data-" + name),
                     "--slots=48", "--connections=240")
        wait_for_answer(lambda: http(self.platform_port, "/v1/hosts"), 200, START_S,
                        "the platform")

    def host(self, zone="zone-a"):
        """Starts a host. Returns its process, caller port and control port."""
        caller, control = free_ports(2)
        settings = self.path(f"host-{caller}.yaml")
        with open(settings, "w", encoding="utf-8") as out:
            out.write(f'host: h\nzone: {zone}\ncaller_port: {caller}\n'
                      f'control_port: {control}\n'
                      f'platform: "127.0.0.1:{self.platform_port}"\n'
                      f'drain_delay_ms: 100\nmemory_limit_mb: {MEMORY_MB}\n'
                      f'descriptor_limit: {DESCRIPTORS}\n')
        process = self.run(f"host-{caller}", self.programs + "/tillerd",
                           f"--settings={settings}")
        wait_for_answer(lambda: http(control, "/health"), 200, START_S, "health")
        return process, caller, control

    def apply_config(self, control):
        subprocess.run([self.programs + "/tillerctl", "--yes",
                        f"--host=127.0.0.1:{control}", "config", "apply", self.config],
                       check=True, stdout=subprocess.DEVNULL)

    def stop(self):
        for process in reversed(self.processes):
            process.end()
        self.folder.cleanup()
