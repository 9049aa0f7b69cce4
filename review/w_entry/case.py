"""Another writer leaves one entry with bytes that can't be read. Then an
endpoint drains and leaves as planned: does it still get new work?"""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from world import DRAIN_S, STABLE_S, NotRun, main  # noqa: E402

ROUTE = ("198.18.0.1", 443)
# The endpoint serves for DrainMs and a little longer.
LEAVES_AFTER_S = DRAIN_S + 1.5
ENTRY = ('{"Service":"%s","Address":"127.0.0.1:9","Zone":"zone-a",'
         '"Version":"v1","Slots":2,"State":"ready","ColdRemainingMs":0,'
         '"Seq":1,"born":1}')
STRANGERS = {
    # A code unit of UTF-16 without its pair, escaped as JSON allows.
    "escaped": ENTRY % "\\udcff",
    # Two bytes that are no UTF-8.
    "raw": ENTRY % "\udcff\udcfe",
    # Well-formed, with a field of another type: lists in lists.
    "nested": '{"Service":%s}' % ("[" * 40 + "]" * 40),
    # An ordinary malformed entry, for comparison.
    "plain": '{"Service":7}',
}


async def scenario(world, trouble):
    await world.open_store()
    world.write_config(3, [("orders", ROUTE, "unsafe", "desk")], ["desk"])
    for i, zone in enumerate(["zone-a", "zone-a", "zone-b"]):
        world.add_node("n%d" % (i + 1), zone)
    desks = [await world.add_endpoint("desk", z, work_s=0.06)
             for z in ("zone-a", "zone-a", "zone-b", "zone-b")]
    for node in world.nodes:
        await node.start()
    if not await world.wait_ready():
        raise NotRun("the instances are not ready")
    await asyncio.sleep(3)
    clients = [await world.add_client(z) for z in world.zones]

    def on_open(endpoint, packet, node):
        if endpoint.drain_ack is None:
            return
        late = time.monotonic() - endpoint.drain_ack - DRAIN_S
        if late > 0:
            world.violation("DRAIN", "a flow opened at an endpoint later than "
                            "DrainMs after the ack that it drains",
                            endpoint=endpoint.name(), late_ms=int(late * 1000))
    world.flow_hook = on_open

    async def users(client, end):
        while time.monotonic() < end:
            client.open(ROUTE, kind="unsafe", body_bytes=900)
            await asyncio.sleep(0.04)
    load = [asyncio.create_task(users(c, time.monotonic() + 14))
            for c in clients]
    await asyncio.sleep(1)
    if trouble:
        variant = os.environ.get("VARIANT", "escaped")
        world.store.put("servers", "i-00c0ffee01", None,
                        raw=STRANGERS[variant])
        world.log("entry_of_another_writer", variant=variant)
    await asyncio.sleep(STABLE_S + 1)
    leaving = desks[0]
    leaving.drain()
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving.stop()
    leaving.listed = False
    world.store.delete("servers", leaving.id)
    await asyncio.gather(*load)
    await asyncio.sleep(3.5)
    lost = [r for r, f in world.requests.items() if r not in world.answers]
    world.log("orders", sent=len(world.requests), answered=len(world.answers),
              not_answered=len(lost))
    print("orders: %d sent, %d without an answer" % (len(world.requests),
                                                     len(lost)))


if __name__ == "__main__":
    main(scenario, HERE)
