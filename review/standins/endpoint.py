"""Stand-in of an endpoint: flows over UDP, health over TCP, an entry in the
store. Follows the sections "Flows", "Endpoints" and "Service discovery"."""
import asyncio
import random
import re
import time

from packets import ACK, FIN, RST, SYN, Packet, Sender, decode

QUEUE = 8
DELAYED_ACK_S = 0.04
REQUEST = re.compile(rb"Request-Id: (\S+)")
LENGTH = re.compile(rb"Content-Length: (\d+)")


class Flow:
    def __init__(self, endpoint, packet):
        self.endpoint = endpoint
        self.client, self.service = packet.src, packet.dst
        self.echo = packet.echo
        self.seq = random.getrandbits(32)
        self.expected = (packet.seq + 1) & 0xffffffff
        self.opened = False
        self.syn_at = time.monotonic()
        self.input = b""
        self.ahead = {}
        self.unacked = 0
        self.ack_timer = None
        self.closing = False
        self.syn_repeats = 0
        self.syn_timer = None
        self.busy = False
        self.sender = Sender(endpoint.loop, (self.seq + 1) & 0xffffffff,
                             self.emit, 8, self.end)

    def answer_syn(self):
        self.endpoint.send(self, SYN | ACK, self.seq)
        if self.syn_timer is None and self.syn_repeats < 8:
            wait = min(0.2 * 2 ** self.syn_repeats, 1.6)
            self.syn_timer = self.endpoint.loop.call_later(wait, self.again)

    def again(self):
        self.syn_timer = None
        if not self.opened and self.endpoint.flows.get(self.key()) is self:
            self.syn_repeats += 1
            self.answer_syn()

    def key(self):
        return (self.client, self.service)

    def emit(self, seq, chunk, last):
        self.note_acked()
        self.endpoint.send(self, ACK | (FIN if last else 0), seq, chunk)

    def note_acked(self):
        self.unacked = 0
        if self.ack_timer:
            self.ack_timer.cancel()
            self.ack_timer = None

    def ack_now(self):
        self.note_acked()
        self.endpoint.send(self, ACK,
                           (self.sender.first + self.sender.sent) & 0xffffffff)

    def on_data(self, packet):
        if packet.seq != self.expected:
            if ((packet.seq - self.expected) & 0xffffffff) < 1 << 20:
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
        elif self.ack_timer is None:
            self.ack_timer = self.endpoint.loop.call_later(DELAYED_ACK_S,
                                                           self.ack_now)
        self.take_requests()

    def take_requests(self):
        while not self.busy:
            end = self.input.find(b"\r\n\r\n")
            if end < 0:
                return
            head = self.input[:end + 4]
            length = LENGTH.search(head)
            size = end + 4 + (int(length.group(1)) if length else 0)
            if len(self.input) < size:
                return
            self.input = self.input[size:]
            self.busy = True
            request = REQUEST.search(head).group(1).decode()
            self.endpoint.accept_request(self, request)

    def respond(self, request, status="200 OK", extra=""):
        self.busy = False
        if self.endpoint.flows.get(self.key()) is not self:
            return
        body = b"x" * self.endpoint.answer_bytes
        closes = self.endpoint.draining
        self.sender.write(
            ("HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Signature: %s\r\n%s"
             "Content-Length: %d\r\n\r\n" %
             (status, request, self.endpoint.id, extra, len(body))).encode()
            + body, fin=closes)
        if closes:
            self.closing = True
        else:
            self.take_requests()

    def end(self):
        self.sender.stop()
        self.note_acked()
        if self.syn_timer:
            self.syn_timer.cancel()
        if self.endpoint.flows.get(self.key()) is self:
            del self.endpoint.flows[self.key()]


class Endpoint(asyncio.DatagramProtocol):
    def __init__(self, world, service, zone, host, port, slots=2, work_s=0.03,
                 answer_bytes=600):
        self.world, self.loop = world, asyncio.get_running_loop()
        self.service, self.zone = service, zone
        self.address = (host, port)
        self.slots, self.work_s = slots, work_s
        self.answer_bytes = answer_bytes
        self.number = random.getrandbits(40) | 1
        self.id = "i-%010x" % self.number
        self.prefix = self.number.to_bytes(8, "big")
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.flows = {}
        self.waiting = []
        self.running = 0
        self.draining = False
        self.alive = False
        self.cut = False  # from the platform and from the cut zones
        self.cut_from = ()  # addresses of machines whose packets are dropped
        self.last_beat = 0.0
        self.listed = False
        self.drain_ack = None  # time of the store's ack of `draining`
        self.health = None
        self.tasks = []

    def name(self):
        return "%s@%s" % (self.id, self.zone)

    async def start(self):
        self.alive = True
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address)
        await self.listen()
        self.tasks.append(self.loop.create_task(self.beats()))

    async def listen(self):
        self.health = await asyncio.start_server(self.serve_health,
                                                 *self.address)

    def refuse(self):
        if self.health:
            self.health.close()
        self.health = None

    def stop(self):
        """The process ends: flows are gone and the ports closed."""
        if not self.alive:
            return
        self.alive = False
        self.world.log("endpoint_exits", endpoint=self.name(),
                       running=self.running)
        for flow in list(self.flows.values()):
            flow.end()
        self.refuse()
        self.transport.close()
        for task in self.tasks:
            task.cancel()

    # ---- service discovery ----
    def spec(self):
        return {"Service": self.service, "Address": "%s:%d" % self.address,
                "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                "State": "draining" if self.draining else "ready",
                "ColdRemainingMs": 0, "Seq": 1, "born": self.born}

    async def beats(self):
        """Writes the entry; the store drops it after three missed beats."""
        while self.alive:
            if not self.cut:
                self.beat()
            await asyncio.sleep(self.world.heartbeat_s * 0.95)

    def beat(self):
        self.last_beat = time.monotonic()
        if not self.listed:
            self.world.log("endpoint_listed", endpoint=self.name())
        self.listed = True
        return self.world.store.put("servers", self.id, self.spec())

    def drain(self):
        self.draining = True
        self.beat()
        self.drain_ack = time.monotonic()
        self.world.log("draining_acknowledged", endpoint=self.name())

    def lapse_if_silent(self, now):
        if self.listed and now - self.last_beat > 3 * self.world.heartbeat_s:
            self.listed = False
            self.world.store.delete("servers", self.id)
            self.world.log("entry_removed", endpoint=self.name())

    async def serve_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = "503 leaving" if self.draining else "200 OK"
            writer.write(("HTTP/1.1 %s\r\nInstance-Id: %s\r\n"
                          "Content-Length: 0\r\nConnection: close\r\n\r\n" %
                          (status, self.id)).encode())
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    # ---- flows ----
    def send(self, flow, flags, seq, data=b""):
        packet = Packet(flow.service, flow.client, flags, seq, flow.expected,
                        flow.echo, data)
        self.send_to_client(packet)

    def send_to_client(self, packet):
        if self.alive:
            self.transport.sendto(packet.encode(),
                                  (packet.dst[0], self.world.data_port))

    def datagram_received(self, datagram, source):
        if source[0] in self.cut_from:
            return
        prefix, packet = datagram[:8], decode(datagram[8:])
        if packet is None or prefix not in (self.prefix, bytes(8)):
            return
        if not packet.genuine:
            self.world.violation("UNASKED", "a packet that no client wrote",
                                 endpoint=self.name())
            return
        if packet.flags & SYN:
            self.on_syn(packet, source)
        else:
            self.on_packet(packet, source)

    def on_syn(self, packet, source):
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if flow is None:
            flow = self.flows[key] = Flow(self, packet)
        flow.echo = packet.echo
        if not flow.opened:
            flow.answer_syn()

    def on_packet(self, packet, source):
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        holds = flow is not None and (
            flow.opened or packet.ack == ((flow.seq + 1) & 0xffffffff))
        if not holds:
            if packet.flags & RST:
                return
            if packet.flags & FIN and not packet.data:
                self.send_to_client(Packet(packet.dst, packet.src, ACK,
                                           packet.ack,
                                           packet.seq + len(packet.data)))
                return
            if flow is None or packet.data:
                self.world.log("endpoint_resets", endpoint=self.name(),
                               flow=packet.src)
                self.send_to_client(Packet(packet.dst, packet.src, RST,
                                           packet.ack, 0))
            return
        flow.echo = packet.echo
        if not flow.opened:
            flow.opened = True
            if flow.syn_timer:
                flow.syn_timer.cancel()
                flow.syn_timer = None
            self.world.on_flow_open(self, packet, source)
        if packet.flags & RST:
            flow.end()
            return
        flow.sender.on_ack(packet.ack)
        if packet.data:
            flow.on_data(packet)
        if packet.flags & FIN:
            flow.expected = (packet.seq + len(packet.data)) & 0xffffffff
            flow.ack_now()
            flow.end()

    # ---- work ----
    def accept_request(self, flow, request):
        if self.running >= self.slots:
            if len(self.waiting) >= QUEUE:
                self.world.log("shed", request=request, endpoint=self.name())
                flow.respond(request, "503 Full", "Not-Executed: 1\r\n")
                return
            self.waiting.append((flow, request))
            return
        self.begin(flow, request)

    def begin(self, flow, request):
        self.running += 1
        self.world.on_run(self, request)
        self.loop.call_later(self.work_s, self.finish, flow, request)

    def finish(self, flow, request):
        if not self.alive:
            return
        self.running -= 1
        flow.respond(request)
        if self.waiting and self.running < self.slots:
            self.begin(*self.waiting.pop(0))
