"""The platform's store: objects by kind and name, lists, watches, stale reads."""

import asyncio
import json
import socket
import struct
import time
import urllib.parse


class Store:
    """Loses nothing, answers each call at once. `stale_s` is the age of the data that a
    call with StaleOk gets: 0, or seconds, as the page allows."""

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.revision = 1
        self.history = []  # (time, revision, kind, name, object, tombstone)
        self.objects = {}  # kind -> name -> object
        self.stale_s = lambda: 0.0
        self.changed = asyncio.Event()
        self.calls = 0
        self.beats = {}  # endpoint -> time of its last report
        self.waiting = {}  # connection whose watch waits -> the address that it was made to, and the kind
        self.min_rev = 0  # changes up to here have left the history
        self.servers = []

    async def listen(self, ip, port):
        """Serves at one more address. Each instance has one, so that its connections are known."""
        self.servers.append(await asyncio.start_server(self._serve, ip, port))

    def stop(self):
        for server in self.servers:
            server.close()

    def put(self, kind, name, spec):
        """Writes an object and returns the time of the acknowledgement."""
        kinds = self.objects.setdefault(kind, {})
        self.revision += 1
        before = kinds.get(name)
        created = before["meta"]["CreateRevision"] if before else self.revision
        kinds[name] = {"meta": {"Name": name, "Revision": self.revision, "CreateRevision": created,
                                "Finalizers": [], "Deleting": False}, "spec": spec, "status": None}
        return self._note(kind, name, kinds[name], False)

    def delete(self, kind, name):
        gone = self.objects.get(kind, {}).pop(name, None)
        if gone is None:
            return self.clock()
        self.revision += 1
        gone = json.loads(json.dumps(gone))
        gone["meta"]["Revision"] = self.revision
        return self._note(kind, name, gone, True)

    def beat(self, name, spec):
        """A report of an endpoint. One that changes nothing is no change of the entry."""
        before = self.objects.get("servers", {}).get(name)
        self.beats[name] = self.clock()
        if before is None or before["spec"] != spec:
            return self.put("servers", name, spec)
        return self.clock()

    async def expire_entries(self, silence_s, on_expired):
        """Removes the entries of endpoints that have been silent for so long."""
        while True:
            await asyncio.sleep(0.02)
            for name in list(self.objects.get("servers", {})):
                if self.clock() - self.beats.get(name, 0.0) > silence_s:
                    on_expired(name, self.delete("servers", name))

    def _note(self, kind, name, item, tombstone):
        now = self.clock()
        self.history.append((now, self.revision, kind, name, item, tombstone))
        self.changed.set()
        self.changed = asyncio.Event()
        return now

    def _seen(self, stale):
        """The number of changes that a call sees."""
        if not stale or self.stale_s() <= 0:
            return len(self.history)
        limit = self.clock() - self.stale_s()
        return sum(1 for change in self.history if change[0] <= limit)

    def _list(self, kind, after, stale):
        upto = self._seen(stale)
        items, revision = {}, 1
        for _, revision_, kind_, name, item, tombstone in self.history[:upto]:
            revision = revision_
            if kind_ != kind:
                continue
            if tombstone:
                items.pop(name, None)
            else:
                items[name] = item
        names = sorted(n for n in items if n > after)
        return {"items": [items[n] for n in names], "Truncated": False, "CurrentRev": revision}

    async def _watch(self, kind, since, wait_ms, stale):
        end = self.clock() + wait_ms / 1000
        while True:
            upto = self._seen(stale)
            visible = self.history[:upto]
            revision = visible[-1][1] if visible else 1
            events = [{"Object": c[4], "Tombstone": c[5]} for c in visible if c[2] == kind and c[1] > since]
            left = end - self.clock()
            if events or left <= 0:
                return {"events": events, "CurrentRev": max(revision, since)}
            try:
                # A stale copy moves on without a new change.
                pause = min(left, 0.05) if stale and self.stale_s() > 0 else left
                await asyncio.wait_for(self.changed.wait(), pause)
            except asyncio.TimeoutError:
                pass

    def reset_connection(self, ip, kind):
        """Resets a connection that was made to `ip`, on which a watch of the kind waits."""
        for writer, waiting in list(self.waiting.items()):
            if waiting == (ip, kind):
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
                return True
        return False

    async def _answer(self, target, writer):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.strip("/").split("/")
        if len(parts) < 3 or parts[:2] != ["sapphirestream", "objects"]:
            return 404, {}
        kind, stale = parts[2], query.get("StaleOk") == "1"
        if len(parts) > 3:
            item = self.objects.get(kind, {}).get(urllib.parse.unquote(parts[3]))
            return (200, item) if item else (404, {})
        if "Watch" in query and int(query["Watch"]) < self.min_rev:
            return 410, {}
        if "Watch" in query:
            self.waiting[writer] = (writer.get_extra_info("sockname")[0], kind)
            try:
                return 200, await self._watch(kind, int(query["Watch"]), int(query.get("WaitMs", "0")), stale)
            finally:
                self.waiting.pop(writer, None)
        return 200, self._list(kind, query.get("after", ""), stale)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                status, body = await self._answer(head.split(b" ", 2)[1].decode(), writer)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
