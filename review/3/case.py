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
    trial = lakeshore.Trial(HERE, hosts=HOSTS, keys=("k1", "k2"), max_conns=22)
    trial_out.append(trial)
    record = trial.record
    trial.start()
    time.sleep(SETTLE_S)
    now = time.monotonic()
    readers = {h for h, at in trial.store.polls.items() if h and now - at < 10.5}
    record("hosts that follow the store:", *sorted(readers))
    others = [h for h in trial.hosts if h.name not in readers]
    if not others:
        trial.could_not_run("all hosts follow the store")
    if trial.trouble:
        trial.store.turned_away |= readers
        record("store: no response to", *sorted(readers))
    share = len(readers) / HOSTS
    time.sleep(0.2)
    trial.configure(keys=("k1",))
    confirmed = time.monotonic()
    record("operator: key k2 taken away")
    late = {}
    refused = {}

    def watch(host):
        while time.monotonic() - confirmed < OUTAGE_S + 8 and host.name not in refused:
            try:
                sent = time.monotonic() - confirmed
                session = lakeshore.Session(record, f"probe-{host.name}",
                                            host.ports["caller"], "status", "k2")
                if session.started.startswith("ERROR NOAUTH"):
                    refused[host.name] = sent
                    return
                sent = time.monotonic() - confirmed
                request, lines = session.run("READ probe")
                if any(l.startswith("COMPLETE") for l in lines) and sent > CONFIG_APPLY_S:
                    late[host.name] = (sent, request)
                session.close()
            except OSError:
                pass
            time.sleep(0.25)

    threads = [threading.Thread(target=watch, args=(h,), daemon=True) for h in others]
    for thread in threads:
        thread.start()
    time.sleep(max(0, confirmed + OUTAGE_S - 0.2 - time.monotonic()))
    trial.store.turned_away.clear()
    record("store: serves all hosts")
    for thread in threads:
        thread.join(10)
    record("version in force after:", {k: round(v, 2) for k, v in sorted(refused.items())})
    # Requests that were sent while the outage lasted, by hosts that the store
    # serves all the time.
    counted = {h: v for h, v in late.items() if v[0] <= OUTAGE_S}
    if counted:
        host, (sent, request) = max(counted.items(), key=lambda item: item[1][0])
        trial.end(1, f"{len(counted)} of {len(others)} hosts that the store served ran "
                     f"requests with the dropped key, {host} one sent {sent:.1f} s after "
                     f"the confirmation ({len(readers)} of {HOSTS} hosts turned away)")
    trial.end(0, f"in force within {max(refused.values()):.2f} s on all hosts that the store served")


lakeshore.run_case(main)
