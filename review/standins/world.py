"""A small deployment: instances of the edge program as processes, and stand-ins
of the store, the routers, the endpoints and the clients on loopback addresses.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from client import Client, Router
from endpoint import Endpoint
from platform_store import Store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BOUNDS = {"StableWindowMs": 4000, "DrainMs": 3000, "GraceS": 6,
          "ConfigApplyMs": 3000, "RecoveryS": 12, "FlowMs": 2000}
DRAIN_S, STABLE_S = 3.0, 4.0

# Exit codes. An error of Python itself exits with 1.
HELD, BROKEN, NOT_RUN = 0, 10, 2


class Node:
    """One machine with one instance of the edge program."""

    def __init__(self, world, name, zone, host, store):
        self.world, self.name, self.zone = world, name, zone
        self.host, self.store = host, store
        self.data = (host, world.data_port)
        self.ready = (host, world.ready_port)
        self.process = None
        self.task = None
        self.starts = 0
        self.settings = os.path.join(world.folder, name + ".settings")
        self.output = os.path.join(world.folder, name + ".log")
        self.write_settings()

    def write_settings(self):
        values = {"NodeName": self.name, "Zone": self.zone, "Ip": self.host,
                  "Listen.DatagramAddr": "%s:%d" % self.data,
                  "Listen.Ready": "%s:%d" % self.ready,
                  "InternalPorts.0": str(self.world.metrics_port),
                  "platform.Address": "%s:%d" % self.store,
                  "HeartbeatMs": str(int(self.world.heartbeat_s * 1000))}
        values |= {"Bounds." + k: str(v) for k, v in BOUNDS.items()}
        text = self.world.template
        for key, value in values.items():
            text = text.replace("{{%s}}" % key, value)
        with open(self.settings, "w") as file:
            file.write(text)

    async def start(self):
        self.starts += 1
        self.world.log("starts", node=self.name)
        environment = {k: v for k, v in os.environ.items()
                       if k in ("PATH", "HOME", "LANG")}
        environment["SAPPHIRESTREAM_SETTINGS"] = self.settings
        with open(self.output, "ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.world.run_command, cwd=ROOT, env=environment,
                stdin=asyncio.subprocess.DEVNULL, stdout=output, stderr=output)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        """SIGTERM, and SIGKILL after the grace period."""
        self.world.log("sigterm", node=self.name)
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["GraceS"])
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.world.log("ended", node=self.name,
                       code=self.process.returncode)


class World:
    def __init__(self, record, heartbeat_s=1.2):
        self.begun = time.monotonic()
        self.record = open(record, "w", buffering=1)
        self.heartbeat_s = heartbeat_s
        self.violations = []
        self.requests, self.runs, self.answers = {}, {}, {}
        self.nodes, self.endpoints, self.clients = [], [], []
        self.zones = []
        self.outcomes = {}
        self.tasks = []
        self.opened = {}  # flow name -> endpoint
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        self.run_command = role["run"].split(" ")
        with open(os.path.join(ROOT, role["template"])) as file:
            self.template = file.read()
        self.folder = tempfile.mkdtemp(prefix="sapphire_review_")
        self.take_network()
        self.store = Store()
        self.router = Router(self)
        self.flow_hook = None

    def take_network(self):
        """A loopback network and ports that no other run uses."""
        for net in random.sample(range(64, 250), 40):
            claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                claim.bind(("127.%d.0.1" % net, 6999))
            except OSError:
                claim.close()
                continue
            self.claim, self.net = claim, net
            break
        self.data_port, self.ready_port = 8172, 8167
        self.metrics_port, self.store_port, self.work_port = 7720, 8169, 8367

    def host(self, a, b):
        return "127.%d.%d.%d" % (self.net, a, b)

    # ---- record ----
    def now(self):
        return time.monotonic() - self.begun

    def log(self, event, **fields):
        self.record.write("%9.4f %s %s\n" % (
            self.now(), event,
            " ".join("%s=%s" % (k, v) for k, v in fields.items())))

    def violation(self, rule, text, **fields):
        self.violations.append((rule, text))
        self.log("BROKEN", rule=rule, text='"%s"' % text, **fields)

    # ---- what clients and endpoints see ----
    def on_flow_start(self, flow):
        self.log("flow_sent", flow=flow.name, kind=flow.kind)

    def on_request(self, flow, request):
        self.requests[request] = flow
        self.log("sent", request=request, kind=flow.kind)

    def on_run(self, endpoint, request):
        self.runs[request] = self.runs.get(request, 0) + 1
        self.log("run", request=request, endpoint=endpoint.name())
        if request not in self.requests:
            self.violation("UNASKED", "a request that no client sent",
                           request=request)
        elif (self.requests[request].kind != "safe"
              and self.runs[request] > 1):
            self.violation("RUN TWICE", "an order ran twice", request=request)

    def on_answer(self, flow, request, status):
        self.answers[request] = status
        self.log("answered", request=request, status=status)

    def on_reset(self, flow, by_system):
        self.log("reset", flow=flow.name, by="system" if by_system
                 else "endpoint", opened=flow.opened)
        if self.reset_hook and by_system:
            self.reset_hook(flow, self.opened.get(flow.name))

    reset_hook = None

    def on_flow_open(self, endpoint, packet, source):
        name = "%s:%d" % packet.src
        self.opened[name] = endpoint
        node = next((n for n in self.nodes if n.host == source[0]), None)
        self.log("flow_opened", flow=name, endpoint=endpoint.name(),
                 through=node.name if node else source)
        if self.flow_hook:
            self.flow_hook(endpoint, node, endpoint.flows[
                (packet.src, packet.dst)].syn_at)

    def on_flow_end(self, flow, outcome):
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.log("flow_ended", flow=flow.name, outcome=outcome,
                 request=flow.request, answered=flow.answered)

    # ---- set-up ----
    async def open_store(self, count=1):
        """Addresses of the store; each zone may have one of its own."""
        self.stores = []
        for i in range(count):
            address = (self.host(1, 1), self.store_port + i)
            await self.store.open(*address)
            self.stores.append(address)

        async def lapse():
            while True:
                await asyncio.sleep(0.1)
                for endpoint in self.endpoints:
                    endpoint.lapse_if_silent(time.monotonic())
        self.tasks.append(asyncio.create_task(lapse()))

    def add_node(self, name, zone, store=None):
        if zone not in self.zones:
            self.zones.append(zone)
        node = Node(self, name, zone, self.host(10, len(self.nodes) + 1),
                    store or self.stores[0])
        self.nodes.append(node)
        self.tasks.append(self.router.watch(node))
        return node

    async def add_endpoint(self, service, zone, **options):
        endpoint = Endpoint(self, service, zone,
                            self.host(20, len(self.endpoints) + 1),
                            self.work_port, **options)
        self.endpoints.append(endpoint)
        await endpoint.start()
        return endpoint

    async def add_client(self, zone):
        client = Client(self, zone, self.host(30, len(self.clients) + 1))
        self.clients.append(client)
        await client.start()
        return client

    def write_config(self, version, routes, services):
        """`routes`: (name, (host, port), kind, service)."""
        spec = {
            "Version": version,
            "Routes": [{"Name": n, "Host": a[0], "PathPrefix": "/%d/" % a[1],
                        "Service": s, "Type": k, "TimeoutMs": 3000,
                        "TargetLatencyMs": 250, "Priority": 1,
                        "MaxAttempts": 2} for n, a, k, s in routes],
            "Services": [{"Name": s, "HealthPath": "/health", "MaxFlows": 2000}
                         for s in services],
            "Limits": {"IdleTimeoutMs": 12000},
        }
        self.store.put("config", "main", spec)
        self.log("config_acknowledged", version=version, routes=len(routes))

    async def wait_ready(self, nodes=None, limit_s=10.0):
        end = time.monotonic() + limit_s
        nodes = nodes or self.nodes
        while time.monotonic() < end:
            if all(self.router.in_rotation(n) for n in nodes):
                return True
            await asyncio.sleep(0.05)
        return False

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for endpoint in self.endpoints:
            endpoint.stop()


class NotRun(Exception):
    """The case couldn't be played as described."""


async def play(scenario, folder):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(os.path.join(folder, "record.txt"))
    world.log("begins", trouble=trouble,
              command='"%s"' % " ".join(world.run_command))
    task = asyncio.create_task(asyncio.wait_for(scenario(world, trouble), 105))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    failure = None
    try:
        await task
    except (Exception, asyncio.CancelledError) as error:
        failure = repr(error)
    finally:
        await world.close()
    world.log("outcomes", **world.outcomes)
    print("outcomes of flows:", json.dumps(world.outcomes))
    if os.environ.get("KEEP_LOGS"):
        print("instance logs are in", world.folder)
    else:
        shutil.rmtree(world.folder)
    if failure:
        world.log("not_run", why=failure)
        print("could not run:", failure)
        return NOT_RUN
    for rule, text in sorted(set(world.violations)):
        count = world.violations.count((rule, text))
        print("BROKEN %s: %s (%d times)" % (rule, text, count))
        world.log("result", rule=rule, text='"%s"' % text, times=count)
    if not world.violations:
        print("held")
        world.log("result", held=True)
    return BROKEN if world.violations else HELD


def main(scenario, folder):
    """Runs `scenario(world, trouble)` and exits with one of the exit codes."""
    sys.exit(asyncio.run(play(scenario, folder)))
