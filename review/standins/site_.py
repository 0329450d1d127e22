"""One small deployment on loopback: real controllers, and stand-ins for all that is around them."""
import asyncio
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

import cloud
import store
import wire

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def run_command():
    """The `run` entry of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
        for line in file:
            if line.startswith("run ="):
                return json.loads(line.split("=", 1)[1]).split()
    raise SystemExit(2)


def free_ports(count):
    """Ports that were free just now, below the range from which the system takes its own."""
    sockets = []
    while len(sockets) < count:
        s = socket.socket()
        try:
            s.bind(("127.0.0.1", random.randrange(12000, 32000)))
            sockets.append(s)
        except OSError:
            s.close()
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class CannotRun(Exception):
    pass


def _end_with_parent():
    """A controller ends with the test that started it, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Site:
    # As the page and the site file of biljettbron-hq have it.
    report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s = 3.0, 42.0, 40.0, 4.0, 67.0
    state = {"rps": 250.0, "write_rps": 50.0, "value_kb": 32.0, "txn_ops": 16}
    cloud_rps, list_lag_s = 8.0, 5.0
    zones = ["gbg-vast", "sthlm-norr", "malmo-syd"]
    teams = [{"name": "bedrag", "cpus": 0.0, "cpus_max": 0.0, "gpus": 104.0, "gpus_max": 184.0},
             {"name": "prisgrupp", "cpus": 0.0, "cpus_max": 0.0, "gpus": 40.0, "gpus_max": 250.0},
             {"name": "kartgrupp", "cpus": 0.0, "cpus_max": 0.0, "gpus": 80.0, "gpus_max": 500.0}]
    running = []  # the deployments of this process

    @classmethod
    def machine_type(cls, boot_s, **fields):
        return {"label": "fjallnod", "cpus": 64, "gpus": 8, "mem_gb": 384, "local_gb": 150,
                "fetch_gb_per_s": 0.25, "rate": 27.74, "spot_price": 9.91, "ready_s": boot_s,
                "marshes": cls.zones, **fields}

    def __init__(self, folder, types, capacity, boot_s):
        Site.running.append(self)
        self.began = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.folder = tempfile.mkdtemp(prefix="cranemoor-review-")
        self.jobs, self.run_times = {}, {}
        self.on = {}  # task -> set of machines that it is on
        self.starts = []  # (time, task, launch, machine, zone)
        self.told = []  # (time the report was sent, time, task, launch, machine)
        self.run_began = set()  # jobs of which a task has run
        self.run_names = set()  # tasks that have run
        self.processes = {}
        self.store = store.Store(latency_s=0.004, **self.state)
        self.cloud = cloud.Cloud(self, types, capacity, boot_s, self.record)
        self.state_address = None
        self.via = {}  # controller -> address of the state service that it is given

    def now(self):
        return time.monotonic() - self.began

    def record(self, who, what, detail=None):
        text = json.dumps(detail, sort_keys=True) if detail is not None else ""
        self.out.write(f"{self.now():8.3f} {who}: {what} {text}\n")
        self.out.flush()

    # --- controllers

    async def start(self):
        self.state_address = self.state_address or await self.store.start()
        self.cloud_address = await self.cloud.start()
        names = [f"roost-{i}" for i in range(3)]
        ports = free_ports(2 * len(names))
        self.nodes = {n: f"127.0.0.1:{ports[2 * i]}" for i, n in enumerate(names)}
        self.backs = {n: f"127.0.0.1:{ports[2 * i + 1]}" for i, n in enumerate(names)}
        for name in names:
            self.start_controller(name)
        for _ in range(300):
            if self.exited_controllers():
                raise CannotRun("a controller has ended")  # its port may have been taken
            if all([await self.healthy(name) for name in names]):
                self.record("test", "all controllers are healthy")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the controllers did not become healthy")

    async def healthy(self, name):
        client = wire.Client(self.nodes[name])
        status, _, _ = await client.request("GET", "/healthz", timeout=1.0)
        client.close()
        return status == 200

    def settings(self, name):
        index = list(self.nodes).index(name)
        lines = [f'node_name = "{name}"', f'zone = "{self.zones[index % len(self.zones)]}"',
                 f'serve_on = "{self.nodes[name]}"', f'back = "{self.backs[name]}"']
        for i, other in enumerate(self.nodes):
            if other != name:
                lines += ["[[known]]", f'node_name = "{other}"',
                          f'zone = "{self.zones[i % len(self.zones)]}"',
                          f'endpoint = "{self.backs[other]}"']
        lines += ["[services]", f'cloud = "{self.cloud_address}"',
                  f'state = "{self.via.get(name, self.state_address)}"', "[settings]",
                  f"initial_size = {len(self.nodes)}", f"zones = {json.dumps(self.zones)}",
                  "clock_off_ms = 250.0"]
        for team in self.teams:
            lines += ["[[settings.teams]]"] + [f"{k} = {json.dumps(v)}" for k, v in team.items()]
        lines += ["[settings.workers]"] + [f"{k} = {getattr(self, k)}" for k in (
            "report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s")]
        lines += ["[settings.state]"] + [f"{k} = {v}" for k, v in self.state.items()]
        lines += ["[settings.cloud]", f"rps = {self.cloud_rps}", f"list_lag_s = {self.list_lag_s}",
                  "[settings.machine_limits]", "cpu = 0.24", "mem_mb = 200.0",
                  "max_connections = 3500"]
        return "\n".join(lines) + "\n"

    def start_controller(self, name):
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w") as file:
            file.write(self.settings(name))
        log = open(os.path.join(self.folder, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(
            run_command() + [path], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            preexec_fn=_end_with_parent,
            env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")})
        self.record("test", "controller started", name)

    def signal_controller(self, name, number):
        self.record("test", f"signal {signal.Signals(number).name} to controller", name)
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def exited_controllers(self):
        return [n for n, p in self.processes.items() if p.poll() is not None]

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for worker in self.cloud.workers():
            worker.ended = True
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.out.close()

    # --- what the workers tell

    def fetch_gb_per_s(self, worker):
        return worker.size["fetch_gb_per_s"]

    def run_s(self, job):
        return self.run_times.get(job["uid"])

    def told_to_run(self, worker, task, report_sent):
        sent = None if report_sent is None else report_sent - self.began
        self.told.append((sent, self.now(), task.name, task.launch, worker.name))
        self.record("worker", "told to run", {
            "roost": worker.name, "hatchling": task.name, "launch": task.launch,
            "report_sent": None if sent is None else round(sent, 3)})

    def on_machine(self, worker, task):
        others = self.on.setdefault(task.name, set())
        self.starts.append((self.now(), task.name, task.launch, worker.name, worker.zone))
        self.record("worker", "start", {"roost": worker.name, "marsh": worker.zone,
                                        "hatchling": task.name, "launch": task.launch,
                                        "also_on": sorted(others)})
        others.add(worker.name)

    def ran(self, uid):
        return uid in self.run_began

    def began_running(self, worker, task):
        self.run_began.add(task.name.rpartition("/")[0])
        self.run_names.add(task.name)
        self.record("worker", "running", {"roost": worker.name, "hatchling": task.name,
                                          "launch": task.launch})

    def left_machine(self, worker, task, why):
        if worker.name in self.on.get(task.name, set()):
            self.on[task.name].discard(worker.name)
        self.record("worker", "end: " + why, {"roost": worker.name, "hatchling": task.name,
                                              "launch": task.launch})

    def gang_complete(self, task):
        uid = task.name.rpartition("/")[0]
        present = {t.name for w in self.cloud.workers() for t in w.live()
                   if t.name.rpartition("/")[0] == uid and t.launch == task.launch and
                   t.state in ("gathering", "running")}
        return len(present) == task.job["hatchlings"]

    def gang_changed(self, task):
        """A task of a gang has left: if the gang ran, the others end likewise."""
        if task.job is None or task.job["gait"] != "gang":
            return
        asyncio.ensure_future(self._end_gang(task))

    async def _end_gang(self, task):
        uid = task.name.rpartition("/")[0]
        await asyncio.sleep(0.05)
        for worker in self.cloud.workers():
            for other in worker.live():
                if (other.name.rpartition("/")[0] == uid and other.launch == task.launch and
                        other.state == "running"):
                    worker._exit(other, "done" if task.cause == "done" else "mates_gone")

    # --- users

    def job(self, number, **fields):
        spec = {"uid": f"req-{number:06}", "flock": "work", "crew": "kartgrupp", "gait": "array",
                "rank": "normal", "hatchlings": 1, "cpus": 1.0, "gpus": 0.0, "mem_gb": 1.0,
                "plumage": "img-01", "size_gb": 0.5, "breeds": None, "marsh": None,
                "together": False, "spread": False, "driftwood": False, "flight_s": 5.0,
                "nestmark_s": 0.0, "preen_s": 0.0, "dusk_s": None}
        spec.update(fields)
        return spec

    async def _ask(self, node, method, target, body, timeout):
        client = wire.Client(self.nodes[node])
        status, answer, headers = await client.request(method, target, body, timeout)
        client.close()
        self.record("user", f"{method} {target} at {node}: {status}", answer)
        return status, answer, headers

    async def submit(self, spec, run_s=5.0, nodes=None):
        """As users do: repeated for up to 60 s, at another controller each time. run_s: how long a
        task runs, None: until it is stopped."""
        nodes = nodes or list(self.nodes)
        self.jobs[spec["uid"]] = spec
        self.run_times[spec["uid"]] = run_s
        self.record("user", "submits", spec)
        end = time.monotonic() + 60
        attempt = 0
        while time.monotonic() < end:
            node = nodes[attempt % len(nodes)]
            attempt += 1
            status, answer, headers = await self._ask(node, "POST", "/work", spec, 5.0)
            if status in (200, 201, 400, 422):
                return status, answer
            await asyncio.sleep(min(30.0, max(1.0, float(headers.get("retry-after", 1)))))
        return None, None

    async def poll(self, uid, node=None):
        return (await self._ask(node or list(self.nodes)[0], "GET", f"/work/{uid}", None, 2.0))[:2]

    async def cancel(self, uid, node):
        return (await self._ask(node, "POST", f"/work/{uid}/cancel", None, 5.0))[:2]


def play(case):
    """Runs a case and ends with its result: 1 if the rule was broken, 0 if it held, 2 if the case
    could not run."""
    async def run():
        def stop():
            for deployment in Site.running:
                deployment.end()
            os._exit(2)

        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        try:
            result = await case()
        except Exception as error:  # a fault of the test itself is no verdict either
            print(f"cannot run: {type(error).__name__}: {error}")
            result = 2
        os._exit(result)  # what is still open ends with the process

    asyncio.run(run())
