"""Stand-in for the state service ("Controller nodes -> state service")."""
import asyncio
import json
import time

import wire


class Bucket:
    """So many a second, with bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class Store:
    HISTORY = 10000

    def __init__(self, rps, write_rps, value_kb, txn_ops, latency_s=0.004):
        self.requests, self.changes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.latency_s = latency_s
        self.values = {}  # key -> (value, revision, lease)
        self.revision = 0
        self.log = []  # (revision, event)
        self.forgotten = 0  # revision up to which the log is gone
        self.leases = {}  # id -> (ttl, end)
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.is_down = False
        self.ended = False

    async def start(self):
        self.server, self.port = await wire.serve(self.handle)
        self.expiry = asyncio.ensure_future(self.expire())
        return f"127.0.0.1:{self.port}"

    def set_down(self, down):
        if self.is_down and not down:
            now = time.monotonic()  # every lease has its full time again
            self.leases = {i: (ttl, now + ttl) for i, (ttl, _) in self.leases.items()}
        self.is_down = down
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            if not self.is_down:
                now = time.monotonic()
                for lease in [i for i, (_, end) in self.leases.items() if now > end]:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, (_, _, owner) in self.values.items() if owner == lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.values[key]
                self._record({"drop": key, "ripple": self.revision})
            self._wake()

    def _record(self, event):
        self.log.append((self.revision, event))
        if len(self.log) > self.HISTORY:
            self.forgotten = self.log[0][0]
            self.log.pop(0)

    async def handle(self, method, path, query, body):
        await asyncio.sleep(self.latency_s)
        if self.is_down:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "rate"}
        if path.startswith("/kv/"):
            key = path[4:]
            if key in self.values:
                value, revision, lease = self.values[key]
                answer = {"key": key, "value": value, "ripple": revision}
                if lease:
                    answer["tether"] = lease
                return 200, answer
            return 404, {"tide": self.revision}
        if path == "/kv":
            return 200, self._list(query)
        if path == "/txn":
            return self._txn(body)
        if path == "/follow":
            return await self._follow(query)
        if path == "/grants":
            self.last_lease += 1
            ttl = body["ttl_ms"] / 1000
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl)
            return 200, {"tether": self.last_lease}
        if path.startswith("/grants/"):
            parts = path.split("/")
            lease = int(parts[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self._end_lease(lease)
            else:
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {}
        return 400, {"error": "malformed"}

    def _list(self, query):
        prefix, after = query.get("under", ""), query.get("from", "")
        limit, size = min(1000, int(query.get("most", 1000))), 0
        items, more = [], False
        for key in sorted(k for k in self.values if k.startswith(prefix) and k > after):
            value, revision, _ = self.values[key]
            size += len(json.dumps(value)) + len(key)
            if len(items) == limit or size > 512 * 1024:
                more = True
                break
            items.append({"key": key, "value": value, "ripple": revision})
        return {"items": items, "has_next": more, "tide": self.revision}

    def _txn(self, body):
        conditions, writes = body.get("if", []), body.get("then", [])
        too_large = any("put" in w and len(json.dumps(w["value"], separators=(",", ":"))) >
                        self.value_bytes for w in writes)
        if (len(writes) > self.txn_ops or len(conditions) > 4 * self.txn_ops or too_large or
                len(json.dumps(body, separators=(",", ":"))) > 65536):
            return 400, {"error": "too large"}
        if writes and not self.changes.take(len(writes)):
            return 429, {"error": "rate"}
        if any(w.get("tether") and w["tether"] not in self.leases for w in writes):
            return 400, {"error": "no such lease"}
        failed = [c["key"] for c in conditions
                  if (self.values[c["key"]][1] if c["key"] in self.values else 0) != c["ripple"]]
        if failed:
            return 409, {"failed": failed, "tide": self.revision}
        if writes:
            self.revision += 1
            for w in writes:
                if "put" in w:
                    self.values[w["put"]] = (w["value"], self.revision, w.get("tether", 0))
                    self._record({"put": w["put"], "value": w["value"], "ripple": self.revision})
                elif self.values.pop(w["drop"], None) is not None:
                    self._record({"drop": w["drop"], "ripple": self.revision})
            self._wake()
        return 200, {"tide": self.revision}

    async def _follow(self, query):
        prefix, since = query.get("under", ""), int(query.get("from", 0))
        end = time.monotonic() + min(60.0, int(query.get("hold_ms", 0)) / 1000)
        while True:
            changed = self.changed
            if not self.is_down:
                if since < self.forgotten:
                    return 410, {"tide": self.revision}
                # New changes are at the end of the log.
                events, at = [], len(self.log)
                while at > 0 and self.log[at - 1][0] > since:
                    at -= 1
                for _, event in self.log[at:]:
                    if event.get("put", event.get("drop")).startswith(prefix):
                        events.append(event)
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"tide": self.revision, "log": events}
            else:
                left = 1.0  # during an outage, open watches stay open
            try:
                await asyncio.wait_for(changed.wait(), max(0.01, left))
            except asyncio.TimeoutError:
                pass
