"""Reads with StaleOk return data that is seconds old, and nothing else is
wrong. Endpoints drain and leave as planned: do they still get new work?"""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from world import DRAIN_S, NotRun, main  # noqa: E402

ROUTE = ("198.18.0.1", 443)
LAG_S = float(os.environ.get("LAG", "3"))
# The endpoint serves for DrainMs and a little longer.
LEAVES_AFTER_S = DRAIN_S + 0.6
WORK_S = 0.15


async def leave(world, endpoint):
    await asyncio.sleep(LEAVES_AFTER_S)
    endpoint.stop()
    endpoint.listed = False
    world.store.delete("servers", endpoint.id)


async def scenario(world, trouble):
    await world.open_store()
    world.write_config(3, [("orders", ROUTE, "unsafe", "desk")], ["desk"])
    for i, zone in enumerate(["zone-a", "zone-a", "zone-b"]):
        world.add_node("n%d" % (i + 1), zone)
    desks = [await world.add_endpoint("desk", z, work_s=WORK_S)
             for z in ("zone-a",) * 4 + ("zone-b",) * 4]
    for node in world.nodes:
        await node.start()
    if not await world.wait_ready():
        raise NotRun("the instances are not ready")
    await asyncio.sleep(3)
    clients = [await world.add_client(z) for z in world.zones]

    def on_open(endpoint, node, syn_at):
        if endpoint.drain_ack is None:
            return
        late = syn_at - endpoint.drain_ack - DRAIN_S
        if late > 0:
            world.violation("DRAIN", "an endpoint took a flow later than "
                            "DrainMs after the ack that it drains",
                            endpoint=endpoint.name(), through=node.name,
                            late_ms=int(late * 1000))
    world.flow_hook = on_open

    async def users(client, end):
        while time.monotonic() < end:
            client.open(ROUTE, kind="unsafe", body_bytes=900)
            await asyncio.sleep(0.08)
    load = [asyncio.create_task(users(c, time.monotonic() + 18))
            for c in clients]
    if trouble:
        world.store.stale_lag = LAG_S
        world.log("stale_reads", behind_s=LAG_S)
    await asyncio.sleep(6)
    # A release: the endpoints of a zone are replaced one after the other, each
    # second; the new one starts first.
    steps = []
    for old in desks[:4]:
        await world.add_endpoint("desk", "zone-a", work_s=WORK_S)
        await asyncio.sleep(0.5)
        old.drain()
        steps.append(asyncio.create_task(leave(world, old)))
        await asyncio.sleep(0.5)
    await asyncio.gather(*steps)
    await asyncio.gather(*load)
    await asyncio.sleep(3.5)
    lost = [r for r, f in world.requests.items() if r not in world.answers]
    begun = [r for r in lost if r in world.runs]
    world.log("orders", sent=len(world.requests), answered=len(world.answers),
              not_answered=len(lost), of_these_begun=len(begun))
    print("orders: %d sent, %d without an answer (%d of them had begun to run)"
          % (len(world.requests), len(lost), len(begun)))


if __name__ == "__main__":
    main(scenario, HERE)
