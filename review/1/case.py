"""Workers crash and start again at once under their ids, while short tasks come and go."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import platform_standin as standin

RACKS = 6
PER_RACK = 8
WORKER = {"cpu": 64000, "mem_mb": 131072, "gpu": 8}
# Crashes, one after the other, of a fifth of the workers at the most.
CRASHES = 9
PAUSE_S = 4.0
DOWN_S = 0.05
# The first heartbeat comes within heartbeat_ms of the start.
REGISTERS_AFTER_S = 0.75
SHORT_S = 0.06
LONG_S = 2.5


async def case(system, trouble):
    random.seed(1)
    long_jobs = set()

    def behave(_worker, task, _number):
        return (LONG_S if task.split(".")[0] in long_jobs else SHORT_S), "done"

    system.behave = behave
    plan = [("r1-%d" % (i // PER_RACK), "a", WORKER) for i in range(RACKS * PER_RACK)]
    await system.start(plan, standin.configuration([standin.route("batch", standin.PREFIX)]))
    handed_in = []

    async def clients(end, first, mean_s, step, longs):
        number = first
        while standin.now() < end:
            number += 1
            job = "%016x" % number
            if longs:
                long_jobs.add(job)
            handed_in.append(asyncio.ensure_future(system.submit(job, [step])))
            await asyncio.sleep(random.uniform(0.5, 1.5) * mean_s)

    end = standin.now() + 3 + PAUSE_S * CRASHES
    short = {"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 60}
    long = {"count": 1, "cpu": 4000, "mem_mb": 4000, "gpu": 1, "estimate_ms": 2500}
    traffic = [asyncio.ensure_future(clients(end, 0xa0000, 0.1, short, False)),
               asyncio.ensure_future(clients(end, 0xb0000, 1.0, long, True))]
    await asyncio.sleep(3)
    for _ in range(CRASHES):
        if trouble:
            worker = max(system.workers.values(), key=lambda it: (len(it.runs), it.last_end))
            await worker.crash(DOWN_S, REGISTERS_AFTER_S)
        await asyncio.sleep(PAUSE_S - DOWN_S - REGISTERS_AFTER_S)
    await asyncio.gather(*traffic)
    await asyncio.gather(*handed_in)
    await asyncio.sleep(8)
    return system.ledger.violations


standin.play(case, HERE)
