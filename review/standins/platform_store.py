"""Stand-in of the platform's store: objects by kind and name, lists, watches.

It follows the section "The platform's metadata store" of PROTOCOL.md. It is
linearizable, loses nothing and answers at once. StaleOk reads see the state of
`stale_lag` seconds ago. Faults are set from outside: a port can refuse
connections, and open connections can go silent while new ones work.
"""
import asyncio
import json
import time
import urllib.parse

PATH = "/sapphirestream/objects/"
PAGE_ITEMS = 500
HISTORY_S = 20.0


class Store:
    def __init__(self):
        self.revision = 1
        self.objects = {}  # (kind, name) -> [revision, body of spec as JSON]
        self.changes = []  # (time, revision, kind, name, deleted, JSON)
        self.forgotten = 0  # changes up to this revision are dropped
        self.stale_lag = 0.0
        self.changed = asyncio.Event()
        self.servers = {}  # port -> asyncio server
        self.addresses = {}  # port -> host
        self.connections = {}  # port -> set of Connection
        self.on_read = None  # called with (peer, target, stale)

    # ---- writes of the operator and the endpoints (in process) ----
    def put(self, kind, name, spec, raw=None):
        """Writes an object; returns its revision, which is the ack."""
        text = raw if raw is not None else json.dumps(spec)
        old = self.objects.get((kind, name))
        if old and old[1] == text:
            return old[0]
        self.revision += 1
        self.objects[(kind, name)] = [self.revision, text]
        self._record(kind, name, False, self._object(name, self.revision, text))
        return self.revision

    def delete(self, kind, name):
        old = self.objects.pop((kind, name), None)
        if old is None:
            return
        self.revision += 1
        self._record(kind, name, True,
                     self._object(name, self.revision, old[1]))

    def _record(self, kind, name, deleted, text):
        now = time.monotonic()
        self.changes.append((now, self.revision, kind, name, deleted, text))
        while self.changes and self.changes[0][0] < now - HISTORY_S:
            self.forgotten = self.changes.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _object(name, revision, spec):
        meta = {"Name": name, "Revision": revision, "CreateRevision": 1,
                "Finalizers": [], "Deleting": False}
        return '{"meta":%s,"spec":%s,"status":null}' % (json.dumps(meta), spec)

    # ---- reads ----
    def _revision_seen(self, stale):
        """The revision up to which a read sees changes now."""
        if not stale or self.stale_lag <= 0:
            return self.revision
        limit = time.monotonic() - self.stale_lag
        newer = [c[1] for c in self.changes if c[0] > limit]
        return min(newer) - 1 if newer else self.revision

    def _state(self, kind, revision):
        """Objects of a kind as of a revision that the history reaches."""
        state = {n: o for (k, n), o in self.objects.items() if k == kind}
        if revision == self.revision:
            return {n: self._object(n, o[0], o[1]) for n, o in state.items()}
        touched = {c[3] for c in self.changes
                   if c[2] == kind and c[1] > revision}
        result = {n: self._object(n, o[0], o[1]) for n, o in state.items()
                  if n not in touched}
        for c in self.changes:
            if c[2] == kind and c[3] in touched and c[1] <= revision:
                if c[4]:
                    result.pop(c[3], None)
                else:
                    result[c[3]] = c[5]
        return result

    def list(self, kind, after, stale):
        revision = self._revision_seen(stale)
        state = self._state(kind, revision)
        names = sorted(n for n in state if n > after)
        page = names[:PAGE_ITEMS]
        return 200, '{"items":[%s],"Truncated":%s,"CurrentRev":%d}' % (
            ",".join(state[n] for n in page),
            "true" if len(names) > len(page) else "false", revision)

    async def watch(self, kind, since, wait_s, stale):
        if since < self.forgotten or since > self.revision:
            return 410, "{}"
        end = time.monotonic() + wait_s
        while True:
            seen = self._revision_seen(stale)
            events = [c for c in self.changes
                      if c[2] == kind and since < c[1] <= seen]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, '{"events":[%s],"CurrentRev":%d}' % (
                    ",".join('{"Tombstone":%s,"Object":%s}' %
                             ("true" if c[4] else "false", c[5])
                             for c in events), seen)
            waits = min(left, 0.02) if stale and self.stale_lag > 0 else left
            try:
                await asyncio.wait_for(self.changed.wait(), waits)
            except asyncio.TimeoutError:
                pass

    # ---- HTTP ----
    async def open(self, host, port):
        self.addresses[port] = host
        self.connections.setdefault(port, set())

        async def serve(reader, writer):
            await Connection(self, port, reader, writer).run()
        self.servers[port] = await asyncio.start_server(serve, host, port)

    async def refuse(self, port):
        """Resets the connections of a port and refuses new ones."""
        self.servers.pop(port).close()
        for connection in list(self.connections[port]):
            connection.writer.transport.abort()

    async def accept(self, port):
        await self.open(self.addresses[port], port)

    def silence_open(self, ports):
        """Open connections carry nothing any more; new ones work."""
        count = 0
        for port in ports:
            for connection in self.connections[port]:
                connection.silent = True
                count += 1
        return count


class Connection:
    def __init__(self, store, port, reader, writer):
        self.store, self.port = store, port
        self.reader, self.writer = reader, writer
        self.silent = False
        store.connections[port].add(self)

    async def run(self):
        try:
            while await self.serve_one():
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.store.connections[self.port].discard(self)
            self.writer.close()

    async def serve_one(self):
        head = await self.reader.readuntil(b"\r\n\r\n")
        if self.silent:
            return await self.swallow()
        target = head.split(b" ", 2)[1].decode()
        path, _, query = target.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        kind = path[len(PATH):]
        stale = options.get("StaleOk") == "1"
        if self.store.on_read:
            self.store.on_read(self.port, target, stale)
        if "Watch" in options:
            status, body = await self.store.watch(
                kind, int(options["Watch"]),
                int(options.get("WaitMs", 0)) / 1000, stale)
        else:
            status, body = self.store.list(kind, options.get("after", ""),
                                           stale)
        if self.silent:
            return await self.swallow()
        data = body if isinstance(body, bytes) else body.encode(
            "utf-8", "surrogateescape")
        self.writer.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            b"Store-Era: 1\r\nContent-Length: %d\r\n\r\n" % (status, len(data))
            + data)
        await self.writer.drain()
        return True

    async def swallow(self):
        while await self.reader.read(4096):
            pass
        return False
