"""The store turns away the hosts that read it for others; see claim.txt."""
import os
import sys
import threading
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import lakeshore  # noqa: E402

HOSTS = 15
SETTLE_S = 14
OUTAGE_S = 9.0
CONFIG_APPLY_S = 5.0  # of the grown installations; 3.0 on lfsc-quotes


def main(trial_out):
    trial = lakeshore.Trial(HERE, hosts=HOSTS, keys=("k1", "k2"),
                            services=("ledger2",))
    trial_out.append(trial)
    record = trial.record
    new_group = trial.add_group("ledger2")
    trial.start()
    time.sleep(SETTLE_S)
    now = time.monotonic()
    readers = {h for h, at in trial.store.polls.items() if h and now - at < 10.5}
    record("hosts that follow the store:", *sorted(readers))
    others = [h for h in trial.hosts if h.name not in readers]
    if not others:
        trial.could_not_run("all hosts follow the store")
    sent = {}  # request -> time
    runs = {trial.group.name: [], new_group.name: []}  # requests by service
    for group in (trial.group, new_group):
        group.on_run = lambda endpoint, request, statement, session: \
            runs[endpoint.group.name].append(request)
    end = []

    def write(host):
        """A consumer that stays connected and writes, with a key that stays."""
        session = lakeshore.Session(record, f"w-{host.name}", host.ports["caller"],
                                    "quotes", "k1")
        while not end:
            sent[f"w-{host.name}-{session.next + 1}"] = time.monotonic()
            _, lines = session.run(f"WRITE item-{host.name} {session.next}")
            if not lines or not lines[-1].startswith("READY"):
                return
            time.sleep(0.25)

    def read(host):
        """Consumers with the key that is taken away, a new session each time."""
        while not end:
            try:
                session = lakeshore.Session(record, f"r-{host.name}-{time.monotonic():.2f}",
                                            host.ports["caller"], "status", "k2")
                if session.started.startswith("READY"):
                    sent[f"{session.name}-1"] = time.monotonic()
                    session.run("READ probe")
                session.close()
            except OSError:
                pass
            time.sleep(0.25)

    threads = [threading.Thread(target=task, args=(h,), daemon=True)
               for h in others for task in (write, read)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    if trial.trouble:
        trial.store.turned_away |= readers
        record("store: no response to", *sorted(readers))
    time.sleep(0.2)
    trial.configure(keys=("k1",), services=("ledger2",),
                    route_list=lakeshore.routes("ledger2", "ledger"))
    confirmed = time.monotonic()
    record("operator: key k2 taken away, route of quotes moved to ledger2")
    time.sleep(OUTAGE_S - 0.3)
    trial.store.turned_away.clear()
    record("store: serves all hosts")
    outage_end = time.monotonic()
    time.sleep(2)
    end.append(True)
    for thread in threads:
        thread.join(4)

    def late(group, prefix):
        times = [sent[r] - confirmed for r in runs[group] if r.startswith(prefix)]
        return [t for t in times if CONFIG_APPLY_S < t < outage_end - confirmed]

    if not any(r.startswith("w-") for r in runs[new_group.name]):
        trial.could_not_run("the moved route was never used")
    writes, reads = late(trial.group.name, "w-"), late(trial.group.name, "r-")
    if writes or reads:
        trial.end(1, f"on {len(others)} hosts that the store served, {len(writes)} writes ran at "
                     f"the old service and {len(reads)} reads with the dropped key, sent up to "
                     f"{max(writes + reads):.1f} s after the confirmation "
                     f"({len(readers)} of {HOSTS} hosts turned away)")
    trial.end(0, "the version was in force in time on all hosts that the store served")


lakeshore.run_case(main)
