import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import site_ as site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_S = float(os.environ.get("RUN_S", "100"))


async def case():
    kinds = [site.Site.machine_type(boot_s=5.0),
             site.Site.machine_type(boot_s=5.0, label="fjallnod-2", rate=30.0, spot_price=11.0)]
    # The disruption: no machine of the cheaper type is to be had, in any zone.
    capacity = {("fjallnod-2", zone, False): 20 for zone in site.Site.zones}
    if not TROUBLE:
        capacity.update({("fjallnod", zone, False): 20 for zone in site.Site.zones})
    s = site.Site(HERE, kinds, capacity, boot_s=5.0)
    try:
        await s.start()
        jobs = [s.job(0, gait="service", rank="production", cpus=5.0, gpus=1.0, mem_gb=29.0,
                      flight_s=0.0),
                s.job(1, hatchlings=3, cpus=6.0, gpus=1.0, mem_gb=36.0),
                s.job(2, gait="gang", rank="high", cpus=57.0, gpus=8.0, mem_gb=310.0,
                      together=True, nestmark_s=20.0, preen_s=6.0)]
        for job in jobs:
            status, _ = await s.submit(job, run_s=None if job["gait"] == "service" else 5.0)
            if status not in (200, 201):
                raise site.CannotRun(f"a job was not accepted: {status}")
        accepted = s.now()
        while s.now() < accepted + RUN_S:
            await asyncio.sleep(5.0)
            answers = [(await s.poll(job["uid"]))[1] or {} for job in jobs]
            if [a.get("stance") for a in answers] == ["running", "done", "done"]:
                break
        held = len(s.starts) > 0
        s.record("test", f"accepted until {accepted:.1f} s, {len(s.starts)} tasks started and "
                 f"{len(s.cloud.refused)} rentals refused until {s.now():.1f} s, rented: "
                 f"{s.cloud.last} machines")
        s.record("test", "rule held" if held else "RULE BROKEN: no task was started")
        return 0 if held else 1
    finally:
        s.end()


site.play(case)
