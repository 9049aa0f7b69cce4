"""A route is removed, and two seconds later another one is added at its address, while
instances are rolled. Open flows of the added route are reset by an instance that still has
the version without it."""

import asyncio
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from world import config, main  # noqa: E402

SERVICE = "loja"
ENDPOINTS = 6
CLIENTS = 16
INSTANCES = 5
STALE_S = 2.0  # age of the data that a call with StaleOk gets
STABLE_S = 4.0
ROLLED = 2  # of five in a round: a share of 0.45
ROUNDS = 6
ROUND_S = 14.0
FIRST = 9.0
GAP_S = 2.2  # between the two versions


async def scenario(world, trouble):
    await world.start_platform()
    kept, mended = world.route(1, 8443), world.route(1, 8080)
    version = 4

    def desired(with_mended):
        """The desired state of the version; each version with the second route gives it a new name."""
        routes = [(*kept, "safe", SERVICE, "r-kept")]
        if with_mended:
            routes.append((*mended, "unsafe", SERVICE, f"r-added-in-{added_in}"))
        return config(version, routes, [SERVICE])

    added_in = version
    world.store.put("config", "main", desired(True))
    world.store.stale_s = lambda: STALE_S
    for number in range(1, ENDPOINTS + 1):
        await world.add_endpoint(number, SERVICE, work_s=0.04)
    for number in range(1, INSTANCES + 1):
        await world.add_instance(number)
    await world.wait_serving()
    clients = [world.add_client(number) for number in range(1, CLIENTS + 1)]
    tasks = []
    open_flows = {}  # ends -> when the flow was opened
    disturbed = {}  # instance -> when it was last told to stop or started
    dropped, added = [], [0.0]  # when versions without and with the route were acknowledged
    violations = []
    hit = set()  # beginnings of the request ids of the counted flows
    world_on_open, world_on_system_reset = world.on_open, world.on_system_reset

    def on_open(endpoint, key, flow):
        world_on_open(endpoint, key, flow)
        open_flows[key] = (world.now(), endpoint, flow)

    def on_system_reset(key):
        world_on_system_reset(key)
        opened = open_flows.get(key)
        client = world.flows.get(key)
        if opened is None or client is None or not client.open:
            return
        moment, endpoint, flow = opened
        # A flow that is older than the latest version, which has the route, may have been dropped by the one before.
        first_opening = flow.opening["sent"]
        if flow.ended or first_opening <= added[-1] or any(acked > added[-1] for acked in dropped):
            return
        through = world.last_via.get(key)
        if world.now() - disturbed.get(through, 0.0) < STABLE_S:
            return  # not in touch; planned work counts in any case, but isn't needed here
        hit.add(f"{client.port}-{client.first_seq:x}-")
        violations.append(
            f"FLOW: the flow of port {key[1]} on {endpoint.name} is open since {moment:.3f}; the version that has its route "
            f"was acknowledged at {added[-1]:.3f} and is the latest; reset at {world.now():.3f} by the system, last packet "
            f"through {through}, undisturbed since {disturbed.get(through, 0.0):.3f}")

    world.on_open, world.on_system_reset = on_open, on_system_reset
    end = FIRST + ROUNDS * ROUND_S

    async def client_loop(client):
        """Holds a flow with a request each 100 ms or so; opens another when it ends."""
        port = 2000
        await world.wait_until(FIRST - 2)
        while world.now() < end - 2:
            port += 1
            flow = world.flow(client, port, mended, requests=40, pause_s=0.05 + 0.1 * random.random(), budget_s=2.5)
            await flow.run()
            if flow.outcome != "answered":
                await asyncio.sleep(0.05 + 0.1 * random.random())

    async def roll(number):
        """Two instances one after the other, 1.3 s apart."""
        for node in [world.instances[(number * ROLLED + i) % INSTANCES] for i in range(ROLLED)]:
            disturbed[node.name] = float("inf")
            node.send_signal(signal.SIGTERM)
            await asyncio.get_running_loop().run_in_executor(None, node.process.wait)
            await asyncio.sleep(0.3)
            node.start()
            disturbed[node.name] = world.now()
            await asyncio.sleep(1.3)

    tasks += [asyncio.create_task(client_loop(client)) for client in clients]
    for number in range(ROUNDS):
        await world.wait_until(FIRST + number * ROUND_S)
        rolling = asyncio.create_task(roll(number))
        while not rolling.done():
            await asyncio.sleep(1 + random.random())
            if trouble:
                version += 3
                acked = world.store.put("config", "main", desired(False)) - world.began
                dropped.append(acked)
                world.record("config_acked", version=version, routes=1)
            await asyncio.sleep(GAP_S)
            version += 2
            added_in = version if trouble else added_in
            added.append(world.store.put("config", "main", desired(True)) - world.began)
            world.record("config_acked", version=version, routes=2)
            await asyncio.sleep(1)
        await rolling
    await world.wait_until(end)
    await asyncio.gather(*tasks)
    lost = [r for r in world.unanswered() if any(r.startswith(h) for h in hit)]
    world.record("counted_flows", flows=len(hit), orders_sent_and_never_answered=len(lost))
    return violations


main(HERE, scenario)
