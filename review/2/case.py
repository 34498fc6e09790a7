"""Tasks of a job that lasts fail now and then, each time on another worker."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import platform_standin as standin

JOB = "00000000000000a1"
TASKS = 8
RACKS = 6
PER_RACK = 8
# One end for each worker; from then on every task works on wherever it is started.
FAILURES = RACKS * PER_RACK
WORKER = {"cpu": 64000, "mem_mb": 131072, "gpu": 8}


async def case(system, trouble):
    failures = [0]

    def behave(worker, task, number):
        if trouble and failures[0] < FAILURES:
            failures[0] += 1
            return 1.0, "failed"
        return None, "done"

    system.behave = behave
    plan = [("r1-%d" % (i // PER_RACK), "a", WORKER) for i in range(RACKS * PER_RACK)]
    await system.start(plan, standin.configuration([standin.route("batch", standin.PREFIX)]))
    step = {"count": TASKS, "cpu": 4000, "mem_mb": 4000, "gpu": 1, "long_running": True,
            "anti_affinity": 1}
    if not await system.submit(JOB, [step]):
        raise standin.CannotRun("the job was not accepted")
    # Since when a task has no run, by task; a task that has none for 6 s and 3 s more is lost.
    names = ["%s.0.0.%d" % (JOB, i) for i in range(TASKS)]
    idle_since = {it: standin.now() for it in names}
    worst = {it: 0.0 for it in names}
    end = standin.now() + 45
    while standin.now() < end:
        await asyncio.sleep(0.1)
        running = {run.task for _, run in system.running()}
        for it in names:
            if it in running:
                idle_since[it] = standin.now()
            worst[it] = max(worst[it], standin.now() - idle_since[it])
    await system.state(JOB)
    free = sum(WORKER["gpu"] - worker.used("gpu") for worker in system.workers.values())
    system.record("failed ends: %d; free accelerators: %d of %d"
                  % (failures[0], free, len(plan) * WORKER["gpu"]))
    broken = []
    for it in names:
        system.record("task %s had no run for %.1f s at the most" % (it, worst[it]))
        if worst[it] > 6 + 3:
            broken.append("LOST: %s, which lasts, has had no run for %.1f s while all %d workers "
                          "were sound and had room" % (it, worst[it], len(plan)))
    return broken


standin.play(case, HERE)
