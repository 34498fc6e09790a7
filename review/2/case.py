"""Tasks fail now and then, each time on another worker: of a job that lasts, and of one that ends."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import platform_standin as standin

RACKS = 6
PER_RACK = 8
WORKER = {"cpu": 64000, "mem_mb": 131072, "gpu": 8}
LASTING = "00000000000000a1"
TASKS = 8
# One end for each worker; from then on every task works on wherever it is started.
FAILURES = RACKS * PER_RACK
# A job of one task that needs the kind of two workers and fails once on each of them.
SINGLE = "00000000000000a2"
SINGLE_FAILURES = 2
MAX_ATTEMPTS = 3
FINISH_S = 14
SPAN_S = 3


async def case(system, trouble):
    failures = {LASTING: FAILURES if trouble else 0, SINGLE: SINGLE_FAILURES if trouble else 0}

    def behave(_worker, task, _number):
        job = task.split(".")[0]
        if failures[job] > 0:
            failures[job] -= 1
            return 1.0, "failed"
        return (None if job == LASTING else 1.0), "done"

    system.behave = behave
    plan = [("r1-%d" % (i // PER_RACK), "b" if i in (3, 20) else "a", WORKER)
            for i in range(RACKS * PER_RACK)]
    await system.start(plan, standin.configuration(
        [standin.route("batch", standin.PREFIX, max_attempts=MAX_ATTEMPTS)]))
    lasting = {"count": TASKS, "cpu": 4000, "mem_mb": 4000, "gpu": 1, "long_running": True,
               "anti_affinity": 1}
    single = {"count": 1, "cpu": 4000, "mem_mb": 4000, "gpu": 1, "estimate_ms": 1000,
              "requirements": "b"}
    if not (await system.submit(LASTING, [lasting]) and await system.submit(SINGLE, [single])):
        raise standin.CannotRun("a job was not accepted")
    end_of_traffic = standin.now()
    # Since when a task has no run: for a lasting one from 6 s after its last run, for the other one
    # from finish_s after the end of the traffic.
    names = ["%s.0.0.%d" % (LASTING, i) for i in range(TASKS)] + [SINGLE + ".0.0.0"]
    grace = {it: 6.0 if it.startswith(LASTING) else 0.0 for it in names}
    idle_since = {it: end_of_traffic for it in names}
    idle_since[names[-1]] += FINISH_S
    worst = {it: 0.0 for it in names}
    while standin.now() < end_of_traffic + 45:
        await asyncio.sleep(0.1)
        running = {run.task for _, run in system.running()}
        done = {it[2].task for it in system.ends if it[3] == "done"}
        for it in names:
            if it in running or it in done:
                idle_since[it] = max(idle_since[it], standin.now())
            worst[it] = max(worst[it], standin.now() - idle_since[it])
    await system.state(LASTING)
    _, state = await system.state(SINGLE)
    free = sum(WORKER["gpu"] - worker.used("gpu") for worker in system.workers.values())
    system.record("free accelerators: %d of %d" % (free, len(plan) * WORKER["gpu"]))
    broken = []
    for it in names:
        system.record("task %s had no run for %.1f s at the most" % (it, worst[it]))
        if worst[it] > grace[it] + SPAN_S and not (it.startswith(SINGLE) and state == "failed"):
            broken.append("LOST: %s has had no run for %.1f s while all %d workers were sound and "
                          "had room" % (it, worst[it], len(plan)))
    return broken


standin.play(case, HERE)
