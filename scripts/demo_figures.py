#!/usr/bin/env python3
"""HTTP calls and statistics for scripts/demo.sh.

  demo_figures.py wait URL            waits until URL answers 200, at most 20 s
  demo_figures.py put|post URL BODY
  demo_figures.py live COUNT INSTANCE...  waits until each instance sees COUNT
                                      live instances, at most 20 s
  demo_figures.py settle URL          waits until no order is open, at most 30 s
  demo_figures.py collect FILE NAME LOAD TARGETS INSTANCE...
                                      appends a snapshot of all statistics
  demo_figures.py table FILE          prints the table; exits 1 if a check failed
"""
import json
import re
import sys
import time
import urllib.request

SERVICES = {"board": "1", "feed": "2", "upload": "3", "orders": "4"}


def call(url, method="GET", body=None):
    request = urllib.request.Request(
        url, method=method, data=None if body is None else body.encode())
    with urllib.request.urlopen(request, timeout=3) as answer:
        return answer.read().decode()


def wait_until(done, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if done():
                return True
        except OSError:
            pass
        time.sleep(0.1)
    return False


def wait(url):
    if not wait_until(lambda: call(url) is not None, 20):
        sys.exit(f"no answer from {url}")


def live(count, *instances):
    """Waits until each instance sees `count` live instances, all with the
    newest version active."""
    def settled():
        for instance in instances:
            status = json.loads(call(f"http://{instance}/v1/status"))
            if not status.get("live") == status.get("active") == int(count):
                return False
        return True
    if not wait_until(settled, 20):
        sys.exit(f"{instances} do not all see {count} live instances")


def settle(url):
    if not wait_until(
            lambda: json.loads(call(url + "/stats"))["orders"]["open"] == 0,
            30):
        print("orders are still open after 30 s")


def metrics(address):
    """Bytes of control messages and packets redirected by an instance."""
    control = redirects = 0
    for line in call(f"http://{address}/metrics").splitlines():
        match = re.match(r"sapphirestream_(\w+)(\{.*\})? (\d+)$", line)
        if not match:
            continue
        name, labels, value = match[1], match[2] or "", int(match[3])
        if name == "peer_sent_bytes_total" and '"redirect"' not in labels:
            control += value
        if name == "peer_messages_sent_total" and '"redirect"' in labels:
            redirects += value
    return {"control": control, "redirects": redirects}


def collect(path, name, load, targets, *instances):
    snapshot = {"name": name, "time": time.monotonic(),
                "load": json.loads(call(load + "/stats")),
                "told_not_run": json.loads(call(load + "/refused")),
                "targets": json.loads(call(targets + "/stats")),
                "runs": json.loads(call(targets + "/orders")),
                "eligible": eligible_targets(instances[0]),
                "instances": {}}
    for instance in instances:
        try:
            snapshot["instances"][instance] = metrics(instance)
        except OSError:
            pass  # the instance has left
    with open(path, "a", encoding="utf-8") as file:
        file.write(json.dumps(snapshot) + "\n")


def eligible_targets(instance):
    """Targets that accept new flows, by service."""
    return {service: [t["tunnel"] for t in json.loads(
        call(f"http://{instance}/v1/services/{service}/targets"))
        if not t.get("drained")] for service in SERVICES}


def peak_to_mean(values):
    return max(values) * len(values) / sum(values) if sum(values) else 0


def imbalance(snapshot, service):
    """Peak-to-mean ratio of open flows over targets that accept new flows."""
    return peak_to_mean([t["open_by_service"].get(SERVICES[service], 0)
                         for t in snapshot["targets"]["targets"]
                         if t["target"] in snapshot["eligible"][service]])


def order_imbalance(before, after):
    """Peak-to-mean ratio of the orders run in a phase, over the targets that
    accept new flows at its end."""
    old = {t["target"]: t["orders_run"] for t in before["targets"]["targets"]}
    return peak_to_mean([t["orders_run"] - old[t["target"]]
                         for t in after["targets"]["targets"]
                         if t["target"] in after["eligible"]["orders"]])


def total(snapshot, field):
    return sum(f[field] for f in snapshot["load"]["flows"].values())


def rates(before, after, field):
    """Per-second rates of the instances that ran during the whole phase."""
    seconds = after["time"] - before["time"]
    found = [(after["instances"][i][field] - b[field]) / seconds
             for i, b in before["instances"].items()
             if i in after["instances"]
             and after["instances"][i][field] >= b[field]]
    return found or [0]


def row(before, after):
    old, new = before["load"]["orders"], after["load"]["orders"]
    packets = after["load"]["packets_sent"] - before["load"]["packets_sent"]
    seconds = after["time"] - before["time"]
    redirects = sum(rates(before, after, "redirects")) * seconds
    return [after["name"], total(after, "held"),
            total(after, "broken") - total(before, "broken"),
            new["sent"] - old["sent"], new["answered"] - old["answered"],
            after["targets"]["orders_repeated"]
            - before["targets"]["orders_repeated"],
            new["refusals"] - old["refusals"],
            new["failed"] + new["unanswered"]
            - old["failed"] - old["unanswered"],
            f"{order_imbalance(before, after):.2f}",
            f"{max(rates(before, after, 'control')):.0f}",
            f"{100 * redirects / packets if packets else 0:.1f}"]


def print_table(rows):
    widths = [max(len(str(r[i])) for r in rows) for i in range(len(rows[0]))]
    for r in rows:
        print("  ".join(str(c).ljust(w) if i == 0 else str(c).rjust(w)
                        for i, (c, w) in enumerate(zip(r, widths))))


def problems(first, last):
    """Returns violations of the guarantees for planned changes."""
    found = []
    orders, targets = last["load"]["orders"], last["targets"]
    if total(last, "opened") == 0 or orders["answered"] == 0:
        found.append("no load reached the targets")
    if total(last, "broken"):
        found.append(f"{total(last, 'broken')} flows broke")
    if total(last, "held") < total(first, "opened"):
        found.append(f"{total(last, 'held')} of {total(first, 'opened')} "
                     "flows opened at the start are held")
    if targets["misplaced_packets"]:
        found.append(f"{targets['misplaced_packets']} packets of a flow "
                     "reached a second target")
    if targets["orders_repeated"]:
        found.append(f"{targets['orders_repeated']} orders ran twice")
    false_refusals = set(last["told_not_run"]) & set(last["runs"])
    if false_refusals:
        found.append(f"{len(false_refusals)} orders ran although the client "
                     "was told 'not run'")
    lost = (orders["sent"] - orders["answered"] - orders["given_up"]
            - orders["open"])
    if lost:
        found.append(f"{lost} orders have no answer")
    return found


def table(path):
    with open(path, encoding="utf-8") as file:
        snapshots = [json.loads(line) for line in file]
    print_table([["phase", "flows held", "broken", "orders sent", "answered",
                  "ran twice", "not run", "unanswered", "orders imbalance",
                  "control B/s", "redirected %"]]
                + [row(a, b) for a, b in zip(snapshots, snapshots[1:])])
    first, last = snapshots[1], snapshots[-1]
    orders = last["load"]["orders"]
    print(f"\norders: p50 {orders['p50_ms']:.1f} ms, p99 "
          f"{orders['p99_ms']:.1f} ms, {orders['given_up']} given up after "
          "five refusals")
    for name in ("board", "feed", "upload"):
        print(f"imbalance of open {name} flows after the start: "
              f"{imbalance(first, name):.2f} over "
              f"{len(first['eligible'][name])} targets")
    found = problems(first, last)
    for problem in found:
        print("FAILED:", problem)
    if not found:
        print("passed: no flow broke and no order ran twice")
    return 1 if found else 0


def main(arguments):
    command, *rest = arguments
    if command in ("put", "post"):
        call(rest[0], command.upper(), rest[1] if len(rest) > 1 else "")
        return 0
    return {"wait": wait, "live": live, "settle": settle, "collect": collect,
            "table": table}[command](*rest) or 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
