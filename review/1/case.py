import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import site_ as site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_S = float(os.environ.get("RUN_S", "100"))
GANG = 4


async def case():
    types = [{"label": "baobabnode", "cpus": 96, "gpus": 8, "mem_gb": 768, "local_gb": 200,
              "fetch_gb_per_s": 1.0, "rate": 21.31, "spot_price": 6.03, "ready_s": 5,
              "marshes": site.Site.zones}]
    # The disruption: one zone has machines left for half of the gang. The other two have plenty.
    capacity = {("baobabnode", zone, False): 20 for zone in site.Site.zones}
    if TROUBLE:
        capacity[("baobabnode", "zone-a", False)] = GANG // 2
    s = site.Site(HERE, types, capacity, boot_s=5.0)
    try:
        await s.start()
        gang = s.job(412, gait="gang", rank="high", hatchlings=GANG, cpus=86.0, gpus=8.0,
                     mem_gb=610.0, together=True, flight_s=10.0, nestmark_s=20.0, preen_s=4.0)
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
        held = len(s.starts) > 0
        s.record("test", f"accepted at {accepted:.1f} s, {len(s.starts)} tasks started until "
                 f"{s.now():.1f} s, last answer {answer}")
        s.record("test", "rule held" if held else "RULE BROKEN: no task was started")
        return 0 if held else 1
    finally:
        s.end()


site.play(case)
