"""Packets of the section "Packets" of PROTOCOL.md (form `echo`)."""
import struct
import zlib

HEAD = struct.Struct(">IIIHBHIIHI")  # seq ack echo len flags sport dst src dport sum
SIZE = HEAD.size
assert SIZE == 31
SYN, ACK, FIN, RST, BOUNCED = 4, 32, 8, 1, 16
KEY = b"known to the two ends only"
MAX_DATA = 1200


def ip_number(text):
    return struct.unpack(">I", bytes(int(x) for x in text.split(".")))[0]


def ip_text(number):
    return ".".join(str(x) for x in struct.pack(">I", number))


class Packet:
    __slots__ = ("seq", "ack", "echo", "flags", "src", "dst", "data", "sum",
                 "genuine")

    def __init__(self, src, dst, flags, seq, ack, echo=0, data=b""):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.echo = seq & 0xffffffff, ack & 0xffffffff, echo
        self.data = data
        self.sum, self.genuine = None, True

    def keyed_sum(self):
        text = repr((self.src, self.dst, self.flags & ~BOUNCED, self.seq,
                     self.ack)).encode() + self.data
        return zlib.crc32(KEY + text) or 1

    def encode(self):
        return HEAD.pack(self.seq, self.ack, self.echo, len(self.data),
                         self.flags, self.src[1], ip_number(self.dst[0]),
                         ip_number(self.src[0]), self.dst[1],
                         self.keyed_sum()) + self.data


def decode(bytes_):
    """Returns the packet; `genuine` tells whether one of the ends wrote it."""
    if len(bytes_) < SIZE:
        return None
    seq, ack, echo, size, flags, sport, dst, src, dport, total = HEAD.unpack(
        bytes_[:SIZE])
    if len(bytes_) != SIZE + size:
        return None
    packet = Packet((ip_text(src), sport), (ip_text(dst), dport), flags, seq,
                    ack, echo, bytes_[SIZE:])
    packet.sum = total
    packet.genuine = total == packet.keyed_sum()
    return packet


def after(a, b):
    """Whether sequence number a is later than b."""
    return 0 < ((a - b) & 0xffffffff) < 0x80000000


class Sender:
    """Sends bytes in order: 16 packets in flight, repeated after 200 ms and
    then twice as long up to 1.6 s."""
    WINDOW = 16

    def __init__(self, loop, seq, emit, limit=None, give_up=None):
        self.loop, self.emit = loop, emit
        self.first = seq  # first byte that is not acknowledged
        self.buffer = b""
        self.sent = 0  # bytes of the buffer that were sent
        self.fin = False
        self.timer, self.wait, self.repeats = None, 0.2, 0
        self.limit, self.give_up = limit, give_up

    def write(self, data, fin=False):
        self.buffer += data
        self.fin = self.fin or fin
        self.pump()

    def pump(self):
        while (self.sent < len(self.buffer)
               and self.sent < self.WINDOW * MAX_DATA):
            self._send_at(self.sent)
            self.sent += min(MAX_DATA, len(self.buffer) - self.sent)
        if self.sent and self.timer is None:
            self._arm()

    def _send_at(self, offset):
        chunk = self.buffer[offset:offset + MAX_DATA]
        last = self.fin and offset + len(chunk) == len(self.buffer)
        self.emit(self.first + offset, chunk, last)

    def _arm(self):
        self.timer = self.loop.call_later(self.wait, self._repeat)

    def _repeat(self):
        self.timer = None
        if not self.sent:
            return
        self.repeats += 1
        if self.limit is not None and self.repeats > self.limit:
            if self.give_up:
                self.give_up()
            return
        self.wait = min(self.wait * 2, 1.6)
        self._send_at(0)
        self._arm()

    def on_ack(self, ack):
        done = (ack - self.first) & 0xffffffff
        if done == 0 or done > self.sent:
            return
        self.buffer = self.buffer[done:]
        self.first = (self.first + done) & 0xffffffff
        self.sent -= done
        self.wait, self.repeats = 0.2, 0
        self.stop()
        self.pump()

    def stop(self):
        if self.timer:
            self.timer.cancel()
        self.timer = None
