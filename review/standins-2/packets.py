"""Packets of clients and endpoints, as the page PROTOCOL.md shows them."""

import dataclasses
import ipaddress
import struct
import zlib

SYN, ACK, FIN, RST = 4, 32, 8, 1
HEAD = struct.Struct(">IIIHBHIIHI")
KEY = 0x5EED
MAX_DATA = 1200


def to_int(address):
    return int(ipaddress.IPv4Address(address))


def to_text(number):
    return str(ipaddress.IPv4Address(number))


@dataclasses.dataclass
class Packet:
    """One packet; addresses are numbers."""

    src: int
    sport: int
    dst: int
    dport: int
    flags: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""

    def _sum(self):
        fixed = struct.pack(">IHIHBIIH", self.src, self.sport, self.dst, self.dport,
                            self.flags, self.seq, self.ack, len(self.data))
        return zlib.crc32(fixed + self.data, KEY)

    def encode(self):
        return HEAD.pack(self.seq, self.ack, self.echo, len(self.data), self.flags,
                         self.sport, self.dst, self.src, self.dport, self._sum()) + self.data


def decode(datagram):
    """Returns the packet, or None if it is not one that its sender wrote so. A reset
    of the system's own has the sum 0."""
    if len(datagram) < HEAD.size:
        return None
    seq, ack, echo, size, flags, sport, dst, src, dport, total = HEAD.unpack_from(datagram)
    data = datagram[HEAD.size:]
    packet = Packet(src, sport, dst, dport, flags, seq, ack, echo, data)
    is_system_reset = flags == RST and not data and total == 0
    if len(data) != size or not (is_system_reset or total == packet._sum()):
        return None
    packet.from_system = is_system_reset
    return packet
