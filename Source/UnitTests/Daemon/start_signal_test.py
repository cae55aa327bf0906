#!/usr/bin/env python3
"""A signal during the start of a host, or at the end of its drain, ended its process.

For the start, each program has a FIFO as its settings file, so that the signal
arrives while it reads its settings.
Usage: start_signal_test.py PATH_OF_TILLERD PATH_OF_TILLERD_LAKESHORE
"""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

TILLERD, TILLERD_LAKESHORE = None, None
LIMIT_S = 60
EXITS = 3


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def tillerd_settings():
    caller, control, platform = free_ports(3)
    return (f'host: h1\nzone: z1\ncaller_port: {caller}\ncontrol_port: {control}\n'
            f'platform: "127.0.0.1:{platform}"\ndrain_delay_ms: 100\n')


def lakeshore_settings():
    names = ("caller", "ready", "peer", "pool", "metrics", "store", "promotion")
    return "host: h1\nzone: z1\nshutdown_limit_s: 2\n" + "".join(
        f'{name}_address: "127.0.0.1:{port}"\n'
        for name, port in zip(names, free_ports(len(names))))


class Daemon(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = os.path.join(folder.name, "settings.yaml")
        self.log = os.path.join(folder.name, "log")

    def start(self, program, blocked=()):
        before = signal.pthread_sigmask(signal.SIG_BLOCK, blocked)
        with open(self.log, "wb") as out:
            process = subprocess.Popen([program, f"--settings={self.settings}"],
                                       stdout=out, stderr=out)
        signal.pthread_sigmask(signal.SIG_SETMASK, before)

        def end():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.addCleanup(end)
        return process

    def wait_for_event(self, process, event):
        deadline = time.monotonic() + LIMIT_S
        while True:
            with open(self.log, encoding="utf-8") as log:
                if f"event={event} " in log.read():
                    return
            self.assertIsNone(process.poll(), "the process has ended")
            self.assertLess(time.monotonic(), deadline, f"no {event}")
            time.sleep(0.05)


class StartSignal(Daemon):
    def setUp(self):
        super().setUp()
        os.mkfifo(self.settings)

    def settings_pipe(self, text):
        """Waits until the program opens the FIFO. What it reads later comes from a
        file in its place."""
        pipe = open(self.settings, "w", encoding="utf-8")
        self.addCleanup(pipe.close)
        os.remove(self.settings)
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(text)
        return pipe

    def start_with_signal(self, program, settings, number, blocked=()):
        process = self.start(program, blocked)
        with self.settings_pipe(settings) as pipe:
            process.send_signal(number)
            pipe.write(settings)
        return process

    def check_stop(self, program, settings, blocked=()):
        process = self.start_with_signal(program, settings, signal.SIGTERM, blocked)
        self.assertEqual(process.wait(timeout=LIMIT_S), 0)

    def check_reload(self, program, settings, event):
        process = self.start_with_signal(program, settings, signal.SIGHUP)
        self.wait_for_event(process, event)

    def test_sigterm_drains_tillerd(self):
        self.check_stop(TILLERD, tillerd_settings())

    def test_sigterm_drains_tillerd_lakeshore(self):
        self.check_stop(TILLERD_LAKESHORE, lakeshore_settings())

    def test_sighup_reloads_tillerd(self):
        self.check_reload(TILLERD, tillerd_settings(), "certificate_reload")

    def test_sighup_reloads_tillerd_lakeshore(self):
        self.check_reload(TILLERD_LAKESHORE, lakeshore_settings(), "reloaded")

    def test_signal_blocked_by_the_parent_is_handled(self):
        self.check_stop(TILLERD_LAKESHORE, lakeshore_settings(), (signal.SIGTERM,))


class ExitSignal(Daemon):
    """Signals arrive without pause until the process has ended. The moment that
    counts is short, so each program is stopped several times."""

    def check_exits(self, program, settings, number):
        for _ in range(EXITS):
            with open(self.settings, "w", encoding="utf-8") as out:
                out.write(settings())
            process = self.start(program)
            self.wait_for_event(process, "started")
            process.send_signal(signal.SIGTERM)
            deadline = time.monotonic() + LIMIT_S
            while process.poll() is None and time.monotonic() < deadline:
                process.send_signal(number)
                time.sleep(0.0002)
            self.assertEqual(process.poll(), 0)

    def test_sighup_at_the_exit_of_tillerd(self):
        self.check_exits(TILLERD, tillerd_settings, signal.SIGHUP)

    def test_sigterm_at_the_exit_of_tillerd(self):
        self.check_exits(TILLERD, tillerd_settings, signal.SIGTERM)

    def test_sighup_at_the_exit_of_tillerd_lakeshore(self):
        self.check_exits(TILLERD_LAKESHORE, lakeshore_settings, signal.SIGHUP)

    def test_sigterm_at_the_exit_of_tillerd_lakeshore(self):
        self.check_exits(TILLERD_LAKESHORE, lakeshore_settings, signal.SIGTERM)


if __name__ == "__main__":
    TILLERD_LAKESHORE = sys.argv.pop()
    TILLERD = sys.argv.pop()
    unittest.main(verbosity=2)
