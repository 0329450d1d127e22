import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import site_ as site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_S = float(os.environ.get("RUN_S", "100"))
SERVICES, GANG = 3, 4


async def case():
    kind = site.Site.machine_type(boot_s=5.0)
    # The disruption: one zone has no more machines than its services use. The others have plenty.
    capacity = {("fjallnod", zone, False): 20 for zone in site.Site.zones}
    first = site.Site.zones[0]
    if TROUBLE:
        capacity[("fjallnod", first, False)] = SERVICES
    s = site.Site(HERE, [kind], capacity, boot_s=5.0)
    try:
        await s.start()
        for number in range(SERVICES):  # one a machine, each with 31 of 64 CPUs left
            await s.submit(s.job(number, gait="service", rank="production", cpus=33.0, gpus=1.0,
                                 mem_gb=29.0, marsh=first, flight_s=0.0), run_s=None)
        while len(s.starts) < SERVICES:
            if s.now() > 15.0:
                raise site.CannotRun("the services did not start")
            await asyncio.sleep(0.1)
        gang = s.job(412, gait="gang", rank="high", hatchlings=GANG, cpus=30.0, gpus=5.0,
                     mem_gb=100.0, together=True, flight_s=10.0, nestmark_s=20.0, preen_s=6.0)
        status, _ = await s.submit(gang, run_s=10.0)
        if status not in (200, 201):
            raise site.CannotRun(f"the gang was not accepted: {status}")
        accepted = s.now()
        answer = None
        while s.now() < accepted + RUN_S:
            await asyncio.sleep(5.0)
            _, answer = await s.poll(gang["uid"])
            if answer and answer.get("stance") == "done":
                break
        held = s.ran(gang["uid"])
        s.record("test", f"accepted at {accepted:.1f} s, watched until {s.now():.1f} s, "
                 f"last answer {answer}")
        s.record("test", "rule held" if held else "RULE BROKEN: the gang never ran")
        return 0 if held else 1
    finally:
        s.end()


site.play(case)
