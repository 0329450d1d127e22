"""Stand-in for the cloud ("Controller nodes -> cloud"). Machines are played by worker.Worker."""
import asyncio
import time

import wire
import worker


class Cloud:
    def __init__(self, site, types, capacity, boot_s, record):
        """types: as in GET /flavors. capacity: (type, zone, spot) -> number of machines; what is
        not named has none. boot_s: time from the rental to the worker's first report."""
        self.site, self.types, self.capacity = site, types, dict(capacity)
        self.boot_s, self.record = boot_s, record
        self.machines = {}  # name -> dict
        self.loans = {}  # request name -> machines
        self.refused = []  # (time, request body)
        self.last = 0
        self.is_down = False

    async def start(self):
        self.server, self.port = await wire.serve(self.handle)
        return f"127.0.0.1:{self.port}"

    def workers(self):
        return [m["worker"] for m in self.machines.values()
                if m["worker"] is not None and m["gone"] is None and not m["worker"].ended]

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.05)
        if self.is_down:
            return 503, {"error": "trouble"}
        if path == "/flavors":
            return 200, {"breeds": self.types}
        if path == "/rentals" and method == "GET":
            return 200, self._list(query)
        if path == "/rentals":
            return self._rent(body)
        if path == "/rentals/release":
            self.record("cloud", "release", body["roosts"])
            for name in body["roosts"]:
                self.remove(name)
            return 200, {}
        return 400, {"error": "malformed"}

    def power_loss(self, name):
        """The machine stops on its own; it is listed as running for 30 s more."""
        self.machines[name]["failed"] = time.monotonic() + 30.0
        self.machines[name]["worker"].lose_power()
        self.record("cloud", "machine lost power", name)

    def remove(self, name):
        machine = self.machines.get(name)
        if machine is not None and machine["gone"] is None:
            machine["gone"] = time.monotonic()
            if machine["worker"] is not None:
                machine["worker"].end()

    def _rent(self, body):
        if body["loan"] in self.loans:
            return 200, {"roosts": self.loans[body["loan"]]}
        kind = (body["breed"], body["marsh"], body["driftwood"])
        used = sum(1 for m in self.machines.values() if m["kind"] == kind and m["gone"] is None)
        count = min(body["how_many"], 50, self.capacity.get(kind, 0) - used)
        if count <= 0:
            self.refused.append((time.monotonic(), body))
            self.record("cloud", "rental refused, no capacity", body)
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(count):
            self.last += 1
            name = f"vm-{self.last:06}"
            self.machines[name] = {"kind": kind, "rented": time.monotonic(), "up": None,
                                   "gone": None, "failed": None, "worker": None, "endpoint": None}
            asyncio.ensure_future(self._boot(name))
            names.append(name)
        self.loans[body["loan"]] = names
        self.record("cloud", "rented", {"request": body, "roosts": names})
        return 200, {"roosts": names}

    async def _boot(self, name):
        machine = self.machines[name]
        await asyncio.sleep(self.boot_s)
        if machine["gone"] is not None:
            return
        breed, zone, spot = machine["kind"]
        size = next(t for t in self.types if t["label"] == breed)
        machine["worker"] = worker.Worker(self.site, name, size, zone, spot)
        machine["endpoint"] = await machine["worker"].start()
        machine["up"] = time.monotonic()

    def _list(self, query):
        at = time.monotonic() - self.site.list_lag_s
        after, limit = query.get("from", ""), min(500, int(query.get("most", 500)))
        names = sorted(n for n, m in self.machines.items()
                       if n > after and m["rented"] <= at and not (m["gone"] and m["gone"] <= at))
        items = []
        for name in names[:limit]:
            m = self.machines[name]
            is_up = m["up"] is not None and m["up"] <= at
            has_failed = m["failed"] is not None and m["failed"] <= at
            state = "failed" if has_failed else "running" if is_up else "starting"
            items.append({"uid": name, "endpoint": m["endpoint"] or "127.0.0.1:1",
                          "breed": m["kind"][0], "marsh": m["kind"][1], "driftwood": m["kind"][2],
                          "stance": state,
                          "held_s": at - m["rented"]})
        return {"roosts": items, "has_next": len(names) > limit}
