"""Stand-ins for the Lakeshore platform, for the scripts under review/.

It follows the users' pages: a store of versioned rows, a promotion call with
fencing, and groups of database endpoints that speak the line protocol. Where
the pages are silent, the stand-ins behave like a sound server or platform. All
sockets are bound to 127.0.0.1 on free ports; only the standard library is used.
"""

import base64
import http.server
import json
import os
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.2


class Record:
    """Writes record.txt: what was sent, answered and run, with times."""

    def __init__(self, path):
        self.out = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        with self.lock:
            self.out.write(f"{self.now():9.3f} {' '.join(str(w) for w in words)}\n")
            self.out.flush()


_ports = set()


def free_port():
    while True:
        with socket.socket() as item:
            item.bind(("127.0.0.1", 0))
            port = item.getsockname()[1]
        if port not in _ports:
            _ports.add(port)
            return port


class HttpServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass  # a client went away


def serve_http(port, handle):
    """`handle(method, path, query, body, headers)` returns (status, object);
    None leaves the call unanswered and closes the connection."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_):
            pass

        def run(self, method):
            url = urllib.parse.urlsplit(self.path)
            query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
            size = int(self.headers.get("Content-Length") or 0)
            body = json.loads(self.rfile.read(size)) if size else None
            answer = handle(method, url.path, query, body, self.headers)
            if answer is None:
                self.close_connection = True
                return
            data = json.dumps(answer[1]).encode()
            self.send_response(answer[0])
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def do_GET(self):
            self.run("GET")

        def do_POST(self):
            self.run("POST")

    server = HttpServer(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """The platform's store. Linearizable; loses nothing that it acknowledged."""

    def __init__(self, record):
        self.record = record
        self.rows, self.version = {}, 0  # (table, key) -> row
        self.changed = threading.Condition()
        self.turned_away = set()  # names of hosts that get no response
        self.polls = {}  # host -> time of its last call that follows `op`
        self.port = self.listen("")

    def listen(self, host):
        """An address of the store; its calls count as those of `host`."""
        port = free_port()
        serve_http(port, lambda *call: self.serve(host, *call))
        return port

    def serve(self, host, method, path, query, body, headers):
        if path == "/v1/rows-feed" and query["table"] == "op" and \
                int(query.get("wait_ms", 0)) > 0:
            self.polls[host] = time.monotonic()
        if host in self.turned_away:
            return self.no_response(host)
        answer = self.handle(method, path, query, body, headers)
        if host in self.turned_away:
            return self.no_response(host)
        return answer

    def no_response(self, host):
        while host in self.turned_away:
            time.sleep(0.05)
        return None  # the connection ends once the host is served again

    def put(self, table, key, value):
        """A write of the operator or of an endpoint. Returns when accepted."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self._write(table, key, text)

    def drop(self, table, key):
        with self.changed:
            if (table, key) in self.rows:
                self._write(table, key, None)

    def _write(self, table, key, text):
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        if text is None:
            row["deleted"] = True
        else:
            row["value"] = text
        self.rows[(table, key)] = row
        self.changed.notify_all()

    def _stamp(self, body):
        body["ver"] = self.version
        body["now_ms"] = int(time.monotonic() * 1000)
        return body

    def _after(self, table, after):
        return sorted((r for (t, _), r in self.rows.items()
                       if t == table and r["ver"] > after), key=lambda r: r["ver"])

    def handle(self, method, path, query, body, _):
        time.sleep(0.004)
        with self.changed:
            if path == "/v1/rows-get":
                rows = sorted((r for (t, k), r in self.rows.items()
                               if t == query["table"] and "deleted" not in r
                               and k >= query.get("start_rev", "")),
                              key=lambda r: r["key"])
                limit = int(query.get("limit", 500))
                return 200, self._stamp({"rows": rows[:limit],
                                         "has_more": len(rows) > limit})
            if path == "/v1/rows-feed":
                after = int(query["after"])
                wait = int(query.get("wait_ms", 0)) / 1000
                self.changed.wait_for(lambda: self._after(query["table"], after), wait)
                return 200, self._stamp({"rows": self._after(query["table"], after)})
            if path == "/v1/rows-tx":
                for item in body.get("expect", []):
                    row = self.rows.get((item["table"], item["key"]))
                    held = 0 if row is None or "deleted" in row else row["ver"]
                    if held != item["ver"]:
                        return 412, {"rows": []}
                for item in body.get("writes", []):
                    self._write(item["table"], item["key"], item["value"])
                    self.record("store row", item["table"], item["key"], "=",
                                base64.b64decode(item["value"]).decode())
                for item in body.get("remove", []):
                    self._write(item["table"], item["key"], None)
                return 200, self._stamp({})
        return 404, {}


class Endpoint:
    """One database endpoint of a group."""

    def __init__(self, group, name, zone, primary):
        self.group, self.name, self.zone = group, name, zone
        self.primary = primary
        self.term = 1
        self.log = []  # entries: (term, number, request id, {item: data})
        self.paused_below = 0
        self.draining = False
        self.dark = False  # answers nothing; its process stands still
        self.registered = True
        self.work_s = 0.01
        self.delay_s = 0.002  # until an entry of the primary has arrived
        self.port = free_port()
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.connections = set()
        server = socketserver.ThreadingTCPServer
        server.allow_reuse_address = True
        server.daemon_threads = True
        endpoint = self

        class Handler(socketserver.StreamRequestHandler):
            disable_nagle_algorithm = True

            def handle(self):
                try:
                    endpoint.serve(self)
                except (OSError, ValueError):
                    pass

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        self.server = Server(("127.0.0.1", self.port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.heartbeat, daemon=True).start()

    def position(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (self.term, 0)

    def position_text(self):
        term, number = self.position()
        return f"{max(term, self.term)}.{number}"

    def beat(self):
        self.seq += 1
        self.group.store.put("servers", self.name, {
            "service": self.group.name, "address": f"127.0.0.1:{self.port}",
            "zone": self.zone, "config_version": "v1", "slots": 3,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0, "seq": self.seq, "born": self.born,
            "db_role": "primary" if self.primary else "replica"})

    def heartbeat(self):
        while True:
            if self.registered and not self.dark:
                self.beat()
            time.sleep(HEARTBEAT_S)

    def stand_still(self):
        while self.dark:
            time.sleep(0.01)

    def serve(self, handler):
        group, record = self.group, self.group.record
        words = handler.rfile.readline().decode().strip().split(" ")
        self.stand_still()
        if words[:2] != ["CONNECT", group.name] or \
                (len(words) > 3 and words[3] != self.name):
            handler.wfile.write(f"ERROR MISROUTED {self.name}\r\n".encode())
            return
        with group.lock:
            if len(self.connections) >= group.max_conns:
                handler.wfile.write(b"ERROR TOOMANY -\r\n")
                return
            self.connections.add(handler)
        tenant = words[2]
        try:
            time.sleep(0.012)
            handler.wfile.write(f"READY I {self.position_text()}\r\n".encode())
            session = {"state": "I", "plain": False, "writes": {}, "options": {},
                       "prepared": {}, "tenant": tenant, "term": 0}
            while True:
                line = handler.rfile.readline()
                if not line:
                    return
                self.stand_still()
                text = line.decode().rstrip("\r\n")
                if text == "QUIT":
                    return
                _, request, statement = text.split(" ", 2)
                rows, outcome = self.run(session, request, statement)
                self.stand_still()
                out = "".join(f"ROW {r}\r\n" for r in rows) + outcome + "\r\n" + \
                    f"READY {session['state']} {self.position_text()}\r\n"
                handler.wfile.write(out.encode())
        finally:
            with group.lock:
                self.connections.discard(handler)

    def has(self, position):
        return (max(self.position()[0], self.term), self.position()[1]) >= position

    def run(self, session, request, statement):
        """Runs one statement; returns rows and the outcome line."""
        group, record = self.group, self.group.record
        words = statement.split(" ")
        after = None
        if words[0] == "AFTER":
            after = tuple(int(p) for p in words[1].split("."))
            words = words[2:]
        verb = words[0]
        failed = lambda code: self.fail(session, code)
        if verb in ("STATUS", "PAUSE", "CONTINUE", "STEPDOWN"):
            return self.administer(words)
        if verb == "DISCARD":
            session["options"], session["prepared"] = {}, {}
            return [], "COMPLETE -"
        if verb == "SETOPT":
            session["options"][words[1]] = " ".join(words[2:])
            return [], "COMPLETE -"
        if verb == "PREPARE":
            session["prepared"][words[1]] = (words[2], words[3])
            return [], "COMPLETE -"
        if verb == "DEALLOC":
            session["prepared"].pop(words[1], None)
            return [], "COMPLETE -"
        if verb == "ROLLBACK":
            session["state"], session["writes"] = "I", {}
            return [], "COMPLETE -"
        if session["state"] == "E":
            return [], "ERROR MALFORMED -"
        if verb == "BEGIN":
            plain = words[1:] != ["READ"]
            if plain and not self.primary:
                return [], f"ERROR READONLY {self.name}"
            if after and not self.has(after):
                return [], f"ERROR LAGGING {self.name}"
            session.update(state="T", plain=plain, writes={}, term=self.term)
            return [], "COMPLETE -"
        write = verb == "WRITE"
        if verb == "EXECUTE":
            if words[1] not in session["prepared"]:
                return failed("NOSTMT")
            write = session["prepared"][words[1]][0] == "WRITE"
            words = words[1:]
        lost = session["plain"] and session["term"] != self.term or not self.primary
        if session["state"] == "T" and session["plain"] and lost and \
                (verb != "COMMIT" or session["writes"]):
            return failed("READONLY")
        if write and (not self.primary or
                      (session["state"] == "T" and not session["plain"])):
            return failed("READONLY")
        if after and not self.has(after):
            return failed("LAGGING")
        record("endpoint", self.name, "runs", request, statement, "for",
               session["tenant"])
        group.on_run(self, request, statement, session)
        time.sleep(self.work_s)
        receipt = f"COMPLETE receipt-{request}"
        if verb == "READ" or (verb == "EXECUTE" and not write):
            value = session["writes"].get(words[1]) or self.value(words[1])
            return [value], receipt
        if write:
            item, data = words[1], " ".join(words[2:])
            if session["state"] == "T":
                session["writes"][item] = data
                return [], receipt
            return self.commit(session, request, {item: data}, receipt)
        if verb == "COMMIT":
            writes, session["writes"], session["state"] = session["writes"], {}, "I"
            if not writes:
                return [], receipt
            return self.commit(session, request, writes, receipt)
        return [], "ERROR MALFORMED -"

    def fail(self, session, code):
        if session["state"] == "T":
            session["state"] = "E"
        return [], f"ERROR {code} {self.name}"

    def value(self, item):
        with self.group.lock:
            for _, _, _, writes in reversed(self.log):
                if item in writes:
                    return writes[item]
        return "none"

    def commit(self, session, request, writes, receipt):
        group = self.group
        with group.lock:
            if not self.primary:
                return [], f"ERROR READONLY {self.name}"
            entry = (self.term, self.position()[1] + 1, request, writes)
            self.log.append(entry)
        # Acknowledged once one replica has received it.
        while group.sync_replicas:
            with group.lock:
                if not self.primary or self.term != entry[0]:
                    raise ValueError("lost the lead")
                if any(entry in r.log[-200:] for r in group.members if r is not self):
                    break
            time.sleep(0.001)
        self.stand_still()
        group.record("endpoint", self.name, "acknowledges commit",
                     f"{entry[0]}.{entry[1]}", request)
        group.acknowledged.append(entry)
        return [], receipt

    def administer(self, words):
        group = self.group
        with group.lock:
            if words[0] == "PAUSE":
                term = int(words[1])
                if not self.primary and term > self.term:
                    self.paused_below = term
                group.record("endpoint", self.name, *words)
            elif words[0] == "CONTINUE":
                self.paused_below = 0
                group.record("endpoint", self.name, *words)
            elif words[0] == "STEPDOWN":
                if self.primary and int(words[1]) > self.term:
                    self.primary = False
                    self.registered and threading.Thread(target=self.beat).start()
                group.record("endpoint", self.name, *words)
            role = "primary" if self.primary else "replica"
            row = (f"{role} {self.term} {self.position_text()} {self.paused_below} "
                   f"0 0 {len(self.connections)}")
        return [row], "COMPLETE -"


class Group:
    """A database service: one primary, its replicas and their replication."""

    def __init__(self, name, store, record, zones, max_conns=22, sync_replicas=1):
        self.name, self.store, self.record = name, store, record
        self.max_conns, self.sync_replicas = max_conns, sync_replicas
        self.lock = threading.RLock()
        self.acknowledged = []
        self.on_run = lambda endpoint, request, statement, session: None
        self.members = []
        for index, zone in enumerate(zones):
            self.members.append(Endpoint(self, f"i-{name}-{index}", zone, index == 0))
        for replica in self.members:
            threading.Thread(target=self.replicate, args=(replica,),
                             daemon=True).start()

    def primary(self):
        return next((m for m in self.members if m.primary), None)

    def replicate(self, replica):
        while True:
            time.sleep(max(replica.delay_s, 0.001))
            with self.lock:
                leader = self.primary()
                if leader is None or replica.primary or replica.dark or leader.dark:
                    continue
                if replica.paused_below > leader.term:
                    continue
                replica.term = leader.term
                replica.log = list(leader.log)

    def promote(self, name):
        """Returns False if the endpoint does not run."""
        with self.lock:
            target = next(m for m in self.members if m.name == name)
            if target.dark:
                return False
            if target.primary:
                return True

            def lead():
                time.sleep(0.3)
                with self.lock:
                    for member in self.members:
                        member.primary = member is target
                    target.term = max(m.term for m in self.members) + 1
                    target.paused_below = 0
                self.record("platform", name, "leads term", target.term, "at",
                            target.position_text())
                for member in self.members:
                    if member.registered and not member.dark:
                        member.beat()

            threading.Thread(target=lead, daemon=True).start()
            return True


class Promotions:
    """POST /promote, with fencing tokens checked."""

    def __init__(self, groups, record):
        self.groups = {g.name: g for g in groups}
        self.record, self.seen = record, {}
        self.available = True
        self.port = free_port()
        serve_http(self.port, self.handle)

    def handle(self, method, path, _, body, headers):
        token = int(headers["X-Laburnumtiller-Fencing-Token"])
        holder = headers["X-Laburnumtiller-Lease-Holder"]
        subject = body["service"]
        if not self.available:
            self.record("platform refuses promote", subject, body["id"], "503")
            return 503, {}
        if token < self.seen.get(subject, 0):
            self.record("platform refuses promote", body["id"], holder, token, "409")
            return 409, {}
        self.seen[subject] = token
        running = self.groups[subject].promote(body["id"])
        self.record("platform promote", subject, body["id"], "by", holder, "token",
                    token, 200 if running else 409)
        return (200 if running else 409), {}


class Daemon:
    """One entry host: the program of the deploy file with its settings file."""

    def __init__(self, folder, record, name, zone, store_port, promote_port,
                 grace_s=6):
        self.name, self.record, self.process = name, record, None
        self.ports = {n: free_port() for n in
                      ("caller", "ready", "peer", "pool", "metrics")}
        settings = {"host": name, "zone": zone, "shutdown_limit_s": grace_s,
                    "rate_window_s": 5, "rate_overage": 0.1, "rate_slack": 20,
                    "log_level": "info",
                    "store_address": f"127.0.0.1:{store_port}",
                    "promotion_address": f"127.0.0.1:{promote_port}"}
        for port_name, port in self.ports.items():
            settings[port_name + "_address"] = f"127.0.0.1:{port}"
        self.settings = os.path.join(folder, name + ".yaml")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.writelines(f"{k}: {json.dumps(v)}\n" for k, v in settings.items())
        self.log = os.path.join(folder, name + ".log")

    def start(self):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                       if k in os.environ}
        environment["LABURNUMTILLER_NODE_FILE"] = self.settings
        out = open(self.log, "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", "platform", "tillerd-lakeshore")],
            cwd=ROOT, env=environment, stdout=out, stderr=out,
            stdin=subprocess.DEVNULL)
        out.close()
        self.record("started", self.name)

    def signal(self, number):
        self.record("signal", signal.Signals(number).name, "to", self.name)
        self.process.send_signal(number)

    def ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ports["ready"]), 1) as s:
                s.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n"
                          b"Connection: close\r\n\r\n")
                return b" 200 " in s.recv(200).split(b"\r\n")[0]
        except OSError:
            return False

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Session:
    """A consumer's session."""

    def __init__(self, record, name, port, database, key, timeout=10):
        self.record, self.name, self.next = record, name, 0
        self.socket = socket.create_connection(("127.0.0.1", port), timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lines = self.socket.makefile("r", newline="\r\n")
        self.socket.sendall(f"CONNECT {database} {key}\r\n".encode())
        self.started = self.lines.readline().strip()
        self.record(name, "CONNECT", database, "->", self.started or "closed")

    def run(self, text):
        """Returns (request id, lines of the answer); lines end early if the
        connection ends."""
        self.next += 1
        request = f"{self.name}-{self.next}"
        self.record(self.name, "sends", request, text)
        lines = []
        try:
            self.socket.sendall(f"QUERY {request} {text}\r\n".encode())
            while not lines or not lines[-1].startswith("READY"):
                line = self.lines.readline()
                if not line:
                    break
                lines.append(line.strip())
        except OSError as failure:
            lines.append(f"(connection: {failure.strerror or failure})")
            lines = [l for l in lines if not l.startswith("(")]
        self.record(self.name, "gets", request, " | ".join(lines) or "closed")
        return request, lines

    def close(self):
        try:
            self.socket.close()
        except OSError:
            pass


def routes(primary_group, replica_group):
    """A route `quotes` on a primary and a route `status` that may be stale."""
    return [
        {"name": "r-1", "database_name": "quotes", "route_type": "primary",
         "timeout_ms": 800, "target_latency_ms": 150, "priority": 1,
         "service": primary_group, "public": False},
        {"name": "r-2", "database_name": "status",
         "route_type": "bounded_staleness", "max_staleness_ms": 1500,
         "timeout_ms": 2000, "target_latency_ms": 500, "priority": 2,
         "service": replica_group, "public": False}]


def config(version, group, keys=("k1",), route_list=None, tx_idle_ms=3000, max_conns=22,
           services=()):
    return {
        "config_version": version,
        "routes": route_list or routes(group, group),
        "services": [{"name": name, "max_conns": max_conns, "sync_replicas": 1}
                     for name in (group, *services)],
        "limits": {"tx_idle_ms": tx_idle_ms},
        "tenants": [{"name": "acme", "api_keys": list(keys), "rate_per_s": 200,
                     "burst": 200},
                    {"name": "other", "api_keys": ["k-other"], "rate_per_s": 50,
                     "burst": 50}]}


class Trial:
    """A small deployment: hosts in three zones and one group."""

    def __init__(self, case, hosts=3, group="ledger", **settings):
        self.record = Record(os.path.join(case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record("disruption", "on" if self.trouble else "off")
        zones = ["z1", "z2", "z3"]
        self.store = Store(self.record)
        self.version = 1
        self.store.put("op", "config", config(1, group, **settings))
        self.group = Group(group, self.store, self.record, zones)
        self.promotions = Promotions([self.group], self.record)
        names = [f"edge-{zones[i % 3]}-{i // 3 + 1}" for i in range(hosts)]
        self.hosts = [Daemon(self.folder, self.record, name, zones[i % 3],
                             self.store.listen(name), self.promotions.port)
                      for i, name in enumerate(names)]

    def add_group(self, name):
        group = Group(name, self.store, self.record, ["z1", "z2", "z3"])
        self.promotions.groups[name] = group
        return group

    def start(self):
        """Starts all hosts and waits until each one serves writes."""
        for host in self.hosts:
            host.start()
        deadline = time.monotonic() + 40
        for host in self.hosts:
            while not self.serves(host):
                if time.monotonic() > deadline:
                    self.could_not_run("a host did not become ready")
                time.sleep(0.3)
        self.record("all hosts serve")

    def serves(self, host):
        if not host.ready():
            return False
        try:
            session = Session(self.record, "probe", host.ports["caller"], "quotes", "k1")
            _, lines = session.run("WRITE probe x")
            session.close()
            return any(l.startswith("COMPLETE") for l in lines)
        except OSError:
            return False

    def configure(self, **settings):
        self.version += 1
        self.store.put("op", "config", config(self.version, self.group.name, **settings))
        self.record("operator: version", self.version, "confirmed")

    def end(self, code, why):
        self.record("verdict", {0: "held", 1: "broken", 2: "could not run"}[code], "-", why)
        print({0: "held", 1: "broken", 2: "could not run"}[code], "-", why)
        for host in self.hosts:
            host.stop()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        sys.stdout.flush()
        os._exit(code)

    def could_not_run(self, why):
        self.end(2, why)


def run_case(main):
    """Ends with 2 if the case fails for another reason than the rule."""
    trial = []

    def stopped(*_):
        for item in trial:
            item.could_not_run("stopped by a signal")
        os._exit(2)

    signal.signal(signal.SIGTERM, stopped)
    signal.signal(signal.SIGINT, stopped)
    try:
        main(trial)
    except Exception as failure:  # the hosts must be ended in any case
        print("could not run:", failure)
        for item in trial:
            item.could_not_run(repr(failure))
        os._exit(2)
