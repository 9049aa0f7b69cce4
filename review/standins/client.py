"""Stand-ins of clients and of the platform's routers."""
import asyncio
import random
import re
import time
import zlib

from packets import ACK, FIN, RST, SYN, Packet, Sender, after, decode

SYN_COPIES_S = (0.2, 0.6, 1.4)
RESET_WINDOW = 76800
DELAYED_ACK_S = 0.04
HEAD_END = b"\r\n\r\n"
LENGTH = re.compile(rb"Content-Length: (\d+)")
ANSWERED = re.compile(rb"Request-Id: (\S+)")


class Router:
    """Forwards packets of clients to the nodes of their zone, by hash over the
    nodes in rotation. A node leaves it after two missed checks."""
    PERIOD_S, TIMEOUT_S = 0.5, 0.4

    def __init__(self, world):
        self.world = world
        self.misses = {}

    def watch(self, node):
        self.misses[node] = 2
        return asyncio.get_running_loop().create_task(self.checks(node))

    async def checks(self, node):
        while True:
            begun = time.monotonic()
            good = await self.check(node)
            was = self.in_rotation(node)
            self.misses[node] = 0 if good else self.misses[node] + 1
            if was != self.in_rotation(node):
                self.world.log("rotation", node=node.name,
                               is_in=self.in_rotation(node))
            await asyncio.sleep(max(0, begun + self.PERIOD_S
                                    - time.monotonic()))

    async def check(self, node):
        async def ask():
            reader, writer = await asyncio.open_connection(*node.ready)
            try:
                writer.write(b"GET /sapphirestream/ready HTTP/1.1\r\n"
                             b"Host: node\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                return b" 200 " in line
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(ask(), self.TIMEOUT_S)
        except (OSError, asyncio.TimeoutError):
            return False

    def in_rotation(self, node):
        return self.misses[node] < 2

    def pick(self, zone, key):
        for candidate in [zone] + [z for z in self.world.zones if z != zone]:
            nodes = [n for n in self.world.nodes if n.zone == candidate]
            good = [n for n in nodes if self.in_rotation(n)]
            if not good:
                continue
            if 2 * len(good) < len(nodes):
                good = nodes
            return good[zlib.crc32(repr(key).encode()) % len(good)]
        return None


class Client(asyncio.DatagramProtocol):
    """A client machine; all its flows share one socket."""

    def __init__(self, world, zone, host):
        self.world, self.zone, self.host = world, zone, host
        self.loop = asyncio.get_running_loop()
        self.flows = {}
        self.next_port = random.randrange(20000, 30000)

    async def start(self):
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.world.data_port))

    def send(self, packet):
        node = self.world.router.pick(self.zone, (packet.src, packet.dst))
        if node is not None:
            self.transport.sendto(packet.encode(), node.data)
        return node

    def datagram_received(self, datagram, source):
        packet = decode(datagram)
        if packet is None:
            return
        is_system_reset = (packet.flags == RST and not packet.data
                           and packet.sum == 0)
        if not packet.genuine and not is_system_reset:
            self.world.violation("MIXED", "a packet that no endpoint wrote")
            return
        flow = self.flows.get(packet.dst[1])
        if flow is not None:
            flow.on_packet(packet, is_system_reset)

    def open(self, route, **options):
        self.next_port += 1
        flow = ClientFlow(self, (self.host, self.next_port), route, **options)
        self.flows[self.next_port] = flow
        flow.start()
        return flow


class ClientFlow:
    """One flow with requests one after the other."""

    def __init__(self, client, source, route, kind="safe", requests=1,
                 pause_s=0.0, budget_s=3.0, body_bytes=0):
        self.client, self.world, self.loop = client, client.world, client.loop
        self.source, self.route, self.kind = source, route, kind
        self.requests, self.pause_s = requests, pause_s
        self.budget_s, self.body_bytes = budget_s, body_bytes
        self.echo = 0
        self.seq = random.getrandbits(32)
        self.opened = False
        self.done = False
        self.input = b""
        self.ahead = {}
        self.unacked = 0
        self.timers = {}
        self.request = None
        self.answered = 0
        self.outcome = asyncio.get_running_loop().create_future()
        self.name = "%s:%d" % source
        self.syn_sent = None
        self.sender = None
        self.expected = 0

    def later(self, name, delay, action, *arguments):
        self.cancel(name)
        self.timers[name] = self.loop.call_later(delay, action, *arguments)

    def cancel(self, name):
        timer = self.timers.pop(name, None)
        if timer:
            timer.cancel()

    def send(self, flags, seq, ack, data=b""):
        return self.client.send(Packet(self.source, self.route, flags, seq,
                                       ack, self.echo, data))

    # ---- opening ----
    def start(self):
        self.begun = time.monotonic()
        self.world.on_flow_start(self)
        self.send_syn(0)

    def send_syn(self, copy):
        now = time.monotonic()
        self.syn_sent = self.syn_sent or now
        node = self.send(SYN, self.seq, copy)
        self.node = node
        if copy + 1 < len(SYN_COPIES_S):
            self.later("syn", self.begun + SYN_COPIES_S[copy] - now,
                       self.send_syn, copy + 1)
        else:
            self.later("syn", self.begun + SYN_COPIES_S[copy] - now,
                       self.finish, "unopened")

    def next_request(self):
        if self.done:
            return
        self.request = "%s-%d" % (self.name, self.answered + 1)
        head = ("%s / HTTP/1.1\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n"
                % ("GET" if self.kind == "safe" else "POST", self.request,
                   self.body_bytes))
        self.world.on_request(self, self.request)
        self.later("budget", self.budget_s, self.finish, "timed_out")
        self.sender.write(head.encode() + b"b" * self.body_bytes)

    def emit(self, seq, chunk, last):
        self.note_acked()
        self.send(ACK, seq, self.expected, chunk)

    def note_acked(self):
        self.unacked = 0
        self.cancel("ack")

    def ack_now(self, flags=0):
        self.note_acked()
        self.send(ACK | flags,
                  (self.sender.first + self.sender.sent) & 0xffffffff,
                  self.expected)

    # ---- packets ----
    def on_packet(self, packet, is_system_reset):
        if self.done:
            return
        if packet.flags & RST:
            distance = min((packet.seq - self.expected) & 0xffffffff,
                           (self.expected - packet.seq) & 0xffffffff)
            if self.opened and distance > RESET_WINDOW:
                return
            self.world.on_reset(self, is_system_reset)
            self.finish(("reset" if self.opened else "refused")
                        + ("_by_system" if is_system_reset else ""))
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            if not self.opened:
                self.opened = True
                self.cancel("syn")
                self.expected = (packet.seq + 1) & 0xffffffff
                self.sender = Sender(self.loop, (self.seq + 1) & 0xffffffff,
                                     self.emit)
                self.next_request()
            return
        if not self.opened:
            return
        self.sender.on_ack(packet.ack)
        if packet.data:
            self.on_data(packet)
        if packet.flags & FIN and not self.done:
            self.ack_now(FIN)
            self.finish("closed" if self.request is None else "broken_off")

    def on_data(self, packet):
        if packet.seq != self.expected:
            if after(packet.seq, self.expected):
                self.ahead[packet.seq] = packet.data
            self.ack_now()
            return
        data = packet.data
        while data is not None:
            self.input += data
            self.expected = (self.expected + len(data)) & 0xffffffff
            data = self.ahead.pop(self.expected, None)
        self.unacked += 1
        if self.unacked >= 2:
            self.ack_now()
        elif "ack" not in self.timers:
            self.later("ack", DELAYED_ACK_S, self.ack_now)
        self.take_answer()

    def take_answer(self):
        end = self.input.find(HEAD_END)
        if end < 0:
            return
        head = self.input[:end + 4]
        size = end + 4 + int(LENGTH.search(head).group(1))
        if len(self.input) < size:
            return
        self.input = self.input[size:]
        request = ANSWERED.search(head).group(1).decode()
        status = head.split(b" ", 2)[1].decode()
        self.cancel("budget")
        self.world.on_answer(self, request, status)
        if request != self.request:
            self.world.violation("MIXED", "the answer of another request",
                                 request=self.request, answer=request)
        self.request = None
        self.answered += 1
        if self.answered >= self.requests:
            self.ack_now(FIN)
            self.finish("answered" if status == "200" else status)
        else:
            self.later("next", self.pause_s, self.next_request)

    def close(self):
        """Ends the flow between two requests."""
        if not self.done and self.opened:
            self.ack_now(FIN)
            self.finish("closed")

    def finish(self, outcome):
        if self.done:
            return
        self.done = True
        if outcome == "timed_out" and self.opened:
            self.send(ACK | RST, self.sender.first, self.expected)
        for name in list(self.timers):
            self.cancel(name)
        if self.sender:
            self.sender.stop()
        self.world.on_flow_end(self, outcome)
        if not self.outcome.done():
            self.outcome.set_result(outcome)
