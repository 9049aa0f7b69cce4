"""A zone is cut off for 5.5 s, and later its only machine is stopped as
planned: are open flows to the zone's endpoints reset while these live?"""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from world import STABLE_S, NotRun, main  # noqa: E402

CUT_S = 5.5
ROUTE = ("198.18.0.1", 443)


async def scenario(world, trouble):
    await world.open_store(2)
    world.write_config(3, [("feed", ROUTE, "safe", "desk")], ["desk"])
    # Zone a has two machines, zone b one, as where 6 machines serve 4 zones.
    a1 = world.add_node("a1", "zone-a", world.stores[0])
    a2 = world.add_node("a2", "zone-a", world.stores[0])
    b1 = world.add_node("b1", "zone-b", world.stores[1])
    inside = [await world.add_endpoint("desk", "zone-a") for _ in range(2)]
    behind = [await world.add_endpoint("desk", "zone-b") for _ in range(2)]
    for node in world.nodes:
        await node.start()
    if not await world.wait_ready():
        raise NotRun("the instances are not ready")
    await asyncio.sleep(3)
    client_a = await world.add_client("zone-a")
    client_b = await world.add_client("zone-b")

    impaired_until = {}

    def on_reset(flow, endpoint):
        if endpoint is None or flow.name not in world.opened:
            return
        since = time.monotonic() - impaired_until.get(endpoint, -STABLE_S)
        if endpoint.alive and not endpoint.cut and since > STABLE_S:
            world.violation(
                "FLOW", "a client got a reset that its endpoint didn't send, "
                "while the endpoint lives and is in touch", flow=flow.name,
                endpoint=endpoint.name())
    world.reset_hook = on_reset

    # The users of zone a: 16 flows with a request every 200 ms. More than the
    # slots of zone a, so that zone b serves some of them.
    async def user(client, end, pause_s):
        while time.monotonic() < end:
            flow = client.open(ROUTE, requests=25, pause_s=pause_s)
            await flow.outcome
            await asyncio.sleep(0.02)
    users = [asyncio.create_task(user(client_a, time.monotonic() + 30, 0.1))
             for _ in range(16)]
    await asyncio.sleep(2)

    begun = time.monotonic()
    if trouble:
        world.log("cut", zone="zone-b", seconds=CUT_S)
        for endpoint in behind:
            endpoint.cut = True
            endpoint.cut_from = (a1.host, a2.host)
            endpoint.refuse()
        await world.store.refuse(b1.store[1])
    await asyncio.sleep(CUT_S)
    if trouble:
        for endpoint in behind:
            endpoint.cut = False
            endpoint.cut_from = ()
            await endpoint.listen()
            impaired_until[endpoint] = time.monotonic()
        await world.store.accept(b1.store[1])
        world.log("cut_ends", zone="zone-b")
    # The users of zone b open long flows, with a request now and then.
    await asyncio.sleep(2.5)
    flows = [client_b.open(ROUTE, requests=1000, pause_s=1.0 + 0.1 * i)
             for i in range(8)]
    await asyncio.sleep(STABLE_S + 1.5)
    still_open = [f for f in flows if not f.done]
    if len(still_open) < len(flows):
        raise NotRun("flows ended before the planned stop")
    world.log("planned_stop", node=b1.name)
    await b1.stop()
    await asyncio.sleep(1.0)
    await b1.start()
    await asyncio.sleep(4.0)
    for flow in flows:
        flow.close()
    for task in users:
        task.cancel()


if __name__ == "__main__":
    main(scenario, HERE)
