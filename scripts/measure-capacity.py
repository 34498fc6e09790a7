#!/usr/bin/env python3
"""Measures what the programs cost per worker, node, account, change and task, for docs/CAPACITY.md.

Starts the key-value and VM list stand-ins, workers and entry nodes on loopback addresses, and reads
for each node over a fixed time:
  cpu        utime + stime of /proc/<pid>/stat
  rss        VmRSS of /proc/<pid>/status
  rx, tx     rchar and wchar of /proc/<pid>/io, less the growth of the node's log for wchar; sockets
             are read and written with readv and writev, which both counters include
  kv         lovagerock_kv_calls of /metrics, and GET /v1/stats of the key-value stand-in
Usage: scripts/measure-capacity.py [--bin DIRECTORY] [--only SCENARIO] [--network 127.A.B]
Two runs at once need different networks: nodes that find a service of another run would join it.
"""

import argparse
import concurrent.futures
import hashlib
import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time

WORKER_PORT = 20000
REGION = "local"
ZONES = ["zone-a", "zone-b", "zone-c"]
WAIT_LIMIT = 60
TICKS = os.sysconf("SC_CLK_TCK")


def call(address, method, path, body=None, headers=None):
    """One HTTP call; gives status, body and the bytes of status line, headers and body."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        data = answer.read()
        head = sum(len(k) + len(v) + 4 for k, v in answer.getheaders()) + 19
        return answer.status, data, head + len(data)
    finally:
        connection.close()


def await_condition(what, condition):
    """Polls a condition for at most a minute."""
    end = time.monotonic() + WAIT_LIMIT
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.1)
    raise SystemExit("gave up waiting: " + what)


def configuration(accounts, weight=1):
    """A configuration of the given number of accounts, each with a guarantee and a service."""
    lines = ["format: 1", "deployment: capacity",
             "weights: {completion_time: 0.4, fragmentation: 0.6}", "accounts:"]
    for i in range(accounts):
        token = hashlib.sha256(f"token-{i}".encode()).hexdigest()
        lines += [f"  - name: team-{i}", f'    token_sha256: "{token}"',
                  f"    weight: {weight if i == 0 else 1}",
                  "    quota: {accelerators: 100000, slots: 100000}", "    guarantees:",
                  "      - {name: shape, count: 1, workers: 1, accelerators_per_worker: 1,"
                  " adjacency: worker}"]
    lines += ["services:", "  - {name: check, account: team-0, callers: [team-0], slots: 8,"
              " accelerators_per_slot: 1, idempotent: true, timeout_ms: 30000, queue_limit: 100}"]
    return "\n".join(lines) + "\n"


class System:
    """A local system; leaving the context ends its processes by their ids."""

    def __init__(self, options, workers, nodes, accounts=4, elsewhere=0):
        self.bin = options.bin
        self.platform_ip = options.network + ".1"
        self.worker_ip = options.network + ".2"
        self.elsewhere_ip = options.network + ".3"
        self.workers = workers
        self.elsewhere = elsewhere
        self.nodes = nodes
        self.accounts = accounts
        self.version = 0
        self.processes = {}
        self.directory = tempfile.TemporaryDirectory(prefix="measure-capacity-")
        self.kv = f"{self.platform_ip}:18500"
        self.vm_list = f"{self.platform_ip}:18600"

    def admin(self, node):
        return f"{self.platform_ip}:{18200 + node}"

    def launch(self, name, program, *arguments):
        with open(self.log(name), "wb") as log:
            self.processes[name] = subprocess.Popen(
                [os.path.join(self.bin, program), *arguments], stdout=log, stderr=log)

    def log(self, name):
        return os.path.join(self.directory.name, name + ".log")

    def write_vm_list(self):
        entries = [{"targets": [f"{self.platform_ip}:{18100 + i}"],
                    "labels": {"role": "entry", "state": "live", "zone": ZONES[i % 3],
                               "region": REGION, "node": f"n{i}"}} for i in range(self.nodes)]
        entries += [{"targets": [f"{self.worker_ip}:{WORKER_PORT + i}"],
                     "labels": {"role": "worker", "state": "live", "zone": ZONES[0],
                                "region": REGION}} for i in range(self.workers)]
        # Workers of another region are in the list too; the nodes here don't poll them.
        entries += [{"targets": [f"{self.elsewhere_ip}:{WORKER_PORT + i}"],
                     "labels": {"role": "worker", "state": "live", "zone": ZONES[1],
                                "region": "other"}} for i in range(self.elsewhere)]
        path = os.path.join(self.directory.name, "vms.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(entries, file)
        return path

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def check_free(self):
        """Refuses to start where another run listens, before any process is started."""
        addresses = [(self.platform_ip, port) for port in (18500, 18600)]
        addresses += [(self.platform_ip, base + i) for base in (18000, 18100, 18200)
                      for i in range(self.nodes)]
        addresses += [(self.worker_ip, WORKER_PORT + i) for i in range(self.workers)]
        for address in addresses:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(address)
                except OSError as error:
                    raise SystemExit(f"{address[0]}:{address[1]}: {error}; "
                                     "is another run using this network?") from error

    def start(self):
        self.check_free()
        self.launch("kv", "lovagerock-kv", "--listen", self.kv, "--writes-per-second", "400",
                    "--reads-per-second", "2000")
        self.launch("vmlist", "lovagerock-vmlist", "--listen", self.vm_list, "--file",
                    self.write_vm_list())
        for first in range(0, self.workers, 250):
            self.launch(f"workers-{first}", "lovagerock-worker", "--listen",
                        f"{self.worker_ip}:{WORKER_PORT + first}", "--count",
                        str(min(250, self.workers - first)), "--zone", ZONES[0], "--region",
                        REGION, "--rack-prefix", f"rack-{first}")
        await_condition("kv", lambda: call(self.kv, "GET", "/v1/stats")[0] == 200)
        for i in range(self.nodes):
            self.launch(f"node-{i}", "lovagerock-node", "--node-id", f"n{i}", "--region", REGION,
                        "--zone", ZONES[i % 3], "--listen", f"{self.platform_ip}:{18000 + i}",
                        "--peer-listen", f"{self.platform_ip}:{18100 + i}", "--admin-listen",
                        self.admin(i), "--kv", self.kv, "--vm-list", self.vm_list)
        await_condition("workers live", lambda: all(
            self.metric(i, "lovagerock_workers_live") == self.workers for i in range(self.nodes)))
        self.apply(configuration(self.accounts))
        await_condition("planner", lambda: self.planner() is not None)

    def __exit__(self, *_):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.directory.cleanup()

    def metric(self, node, name):
        for line in call(self.admin(node), "GET", "/metrics")[1].decode().splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        return None

    def planner(self):
        active = [i for i in range(self.nodes)
                  if self.metric(i, "lovagerock_planner_active") == 1]
        return active[0] if len(active) == 1 else None

    def apply(self, text):
        """Applies a file over node 0; gives the time until it is in force on all nodes."""
        answers = []

        def accepted():
            path = (f"/v1/config/apply?base={self.version}&change=c{self.version + 1}"
                    "&operator=measure")
            answers.append(call(self.admin(0), "POST", path, text))
            return answers[-1][0] == 200

        await_condition("apply", accepted)
        self.version = json.loads(answers[-1][1])["version"]
        start = time.monotonic()
        await_condition("in force", lambda: all(
            self.metric(i, "lovagerock_config_version") >= self.version
            for i in range(self.nodes)))
        return time.monotonic() - start

    def lease_states(self):
        """The state of each worker as the nodes read it: body and bytes."""
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            answers = list(pool.map(
                lambda i: call(f"{self.worker_ip}:{WORKER_PORT + i}", "GET",
                               "/v1/state?since=0&wait_ms=0"), range(self.workers)))
        return [(json.loads(data), size) for _, data, size in answers]

    def sample(self):
        result = {"time": time.monotonic()}
        for name, process in self.processes.items():
            with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
                fields = file.read().rsplit(")", 1)[1].split()
            with open(f"/proc/{process.pid}/io", encoding="ascii") as file:
                io = dict(line.split(": ") for line in file.read().splitlines())
            with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
                rss = [int(l.split()[1]) for l in file if l.startswith("VmRSS")][0]
            result[name] = {"cpu": (int(fields[11]) + int(fields[12])) / TICKS,
                            "rx": int(io["rchar"]),
                            "tx": int(io["wchar"]) - os.path.getsize(self.log(name)), "rss": rss}
        for i in range(self.nodes):
            result[f"node-{i}"]["kv"] = self.metric(i, "lovagerock_kv_calls")
        result["stats"] = json.loads(call(self.kv, "GET", "/v1/stats")[1])
        return result

    def measure(self, seconds, during=None):
        """Costs per second of the planner, the mean of the other nodes, and the workers."""
        before = self.sample()
        if during:
            during(seconds)
        else:
            time.sleep(seconds)
        after = self.sample()
        took = after["time"] - before["time"]
        planner = self.planner()

        def rates(names):
            def mean(key):
                return sum(after[n][key] - before[n][key] for n in names) / len(names) / took
            return {"cpu": mean("cpu") * 100, "rx": mean("rx") / 1000, "tx": mean("tx") / 1000,
                    "kv": mean("kv") if "kv" in after[names[0]] else 0,
                    "rss": sum(after[n]["rss"] for n in names) / len(names) / 1024}

        others = [f"node-{i}" for i in range(self.nodes) if i != planner]
        workers = [n for n in after if n.startswith("workers-")]
        result = {"planner": rates([f"node-{planner}"]), "member": rates(others),
                  "worker": rates(workers)}
        for key in ("cpu", "rx", "tx", "rss"):
            result["worker"][key] *= len(workers) / self.workers
        result["stats"] = {key: (value - before["stats"].get(key, 0)) / took
                           for key, value in after["stats"].items()}
        return result


def show(label, result):
    for role in ("planner", "member", "worker"):
        it = result[role]
        digits = 3 if role == "worker" else 1
        print(f"{label:<34} {role:<8} cpu%={it['cpu']:<8.{digits}f} rx_kB/s={it['rx']:<8.{digits}f}"
              f" tx_kB/s={it['tx']:<8.{digits}f} rss_MiB={it['rss']:<7.1f} kv/s={it['kv']:.2f}",
              flush=True)
    stats = " ".join(f"{k}={v:.2f}" for k, v in sorted(result["stats"].items()) if v > 0)
    print(f"{label:<34} kv calls/s: {stats}", flush=True)


def measure_workers(options):
    for workers in (50, 200, 500, 1000):
        with System(options, workers, 3) as system:
            time.sleep(3)
            size = os.path.getsize(os.path.join(system.directory.name, "vms.json"))
            show(f"workers={workers} nodes=3 vm_list_B={size}", system.measure(8))


def measure_list(options):
    for elsewhere in (1000, 4000):
        with System(options, 50, 3, elsewhere=elsewhere) as system:
            time.sleep(3)
            size = os.path.getsize(os.path.join(system.directory.name, "vms.json"))
            show(f"workers=50 elsewhere={elsewhere} list_B={size}", system.measure(6))


def measure_list_changes(options):
    """One VM of another region changes its state every 5 s; 5 nodes, the nodes of a region at the
    design size. Each node is shown, because one of them reads the list for the others."""
    for elsewhere in (1000, 4550):
        with System(options, 50, 5, elsewhere=elsewhere) as system:
            time.sleep(8)
            size = os.path.getsize(os.path.join(system.directory.name, "vms.json"))
            for period in (0, 5):
                changes = []

                def change(seconds, period=period, changes=changes):
                    start = time.monotonic()
                    while period and time.monotonic() - start < seconds - period / 2:
                        state = "leaving" if len(changes) % 2 == 0 else "live"
                        changes.append(call(
                            system.vm_list, "PUT",
                            f"/v1/targets/{system.elsewhere_ip}:{WORKER_PORT + 7}",
                            json.dumps({"role": "worker", "state": state, "zone": ZONES[1],
                                        "region": "other"}))[0])
                        time.sleep(period)
                    time.sleep(max(0, start + seconds - time.monotonic()))

                before = system.sample()
                result = system.measure(20, change)
                after = system.sample()
                label = f"elsewhere={elsewhere} list_B={size} changes={len(changes)} in 20 s"
                show(label, result)
                took = after["time"] - before["time"]
                for i in range(system.nodes):
                    name = f"node-{i}"
                    rx, tx, cpu = (after[name][key] - before[name][key]
                                   for key in ("rx", "tx", "cpu"))
                    print(f"{label} {name}{' (planner)' if i == system.planner() else ''}: "
                          f"cpu%={cpu / took * 100:.1f} rx_kB/s={rx / took / 1000:.1f} "
                          f"tx_kB/s={tx / took / 1000:.1f} "
                          f"relayed={system.metric(i, 'lovagerock_vm_list_relayed')}", flush=True)
            measure_list_faults(system)


def measure_list_faults(system):
    """How long the other nodes take to know a worker that the list calls leaving, when the reader is
    stopped or killed at that moment."""
    for index, fault in enumerate((None, signal.SIGSTOP, signal.SIGKILL)):
        await_condition("one reader", lambda: sum(
            system.metric(i, "lovagerock_vm_list_relayed") == 0 for i in range(system.nodes)) == 1)
        reader = [i for i in range(system.nodes)
                  if system.metric(i, "lovagerock_vm_list_relayed") == 0][0]
        others = [i for i in range(system.nodes) if i != reader]
        process = system.processes[f"node-{reader}"]
        if fault:
            process.send_signal(fault)
        start = time.monotonic()
        call(system.vm_list, "PUT", f"/v1/targets/{system.worker_ip}:{WORKER_PORT + index}",
             json.dumps({"role": "worker", "state": "leaving", "zone": ZONES[0],
                         "region": REGION}))
        await_condition("leaving worker", lambda: all(
            system.metric(i, "lovagerock_workers_live") == system.workers - index - 1
            for i in others))
        print(f"reader node-{reader} {fault.name if fault else 'runs'}: leaving worker known "
              f"on all others after {time.monotonic() - start:.1f} s", flush=True)
        if fault == signal.SIGSTOP:
            process.send_signal(signal.SIGCONT)


def measure_nodes(options):
    for nodes in (3, 6, 9):
        with System(options, 50, nodes) as system:
            time.sleep(3)
            show(f"workers=50 nodes={nodes}", system.measure(8))


def measure_idle(options):
    """The deployment of today without tasks: three runs in a row, to show the spread."""
    with System(options, 50, 6) as system:
        time.sleep(5)
        for run in range(1, 4):
            show(f"idle workers=50 nodes=6 run={run}", system.measure(10))


def measure_accounts(options):
    for accounts in (4, 50, 200):
        with System(options, 50, 3, accounts) as system:
            time.sleep(2)
            body = json.loads(call(system.admin(0), "GET", "/v1/config")[1])["document"]
            label = f"accounts={accounts} body_B={len(json.dumps(body, separators=(',', ':')))}"
            for rate in (0, 1, 4):
                delays = []

                def change(seconds, rate=rate, delays=delays):
                    start = time.monotonic()
                    for i in range(int(seconds * rate)):
                        time.sleep(max(0, start + i / rate - time.monotonic()))
                        delays.append(system.apply(configuration(accounts, 2 + i % 7)))
                    time.sleep(max(0, start + seconds - time.monotonic()))

                result = system.measure(6, change)
                show(f"{label} changes/s={rate}", result)
                if delays:
                    print(f"{label} changes/s={rate} applied={len(delays)} "
                          f"slowest_in_force_ms={max(delays) * 1000:.0f}")


def submit(system, job, tasks):
    body = {"tasks": tasks, "adjacency": "region", "idempotent": True, "estimated_ms": 3600000,
            "resources": {"slots": 1, "accelerators": 1, "cores": 4, "memory_mb": 8000},
            "payload": {"run_ms": 3600000}}
    headers = {"Authorization": f"Bearer token-{job % system.accounts}",
               "Idempotency-Key": f"job-{job}", "Content-Type": "application/json"}
    status, data, _ = call(f"{system.platform_ip}:18000", "POST", "/v1/jobs", json.dumps(body), headers)
    if status != 202:
        raise SystemExit(f"submission refused: {status} {data[:200]}")


def measure_tasks(options):
    """Jobs of 20 tasks and one gang of 512 at the end, 3 nodes, 1,000 workers."""
    with System(options, 1000, 3) as system:
        jobs = 0
        for tasks in (0, 400, 2000, 5000):
            start = time.monotonic()
            while jobs * 20 < tasks:
                submit(system, jobs, 20)
                jobs += 1
            await_condition(f"{tasks} tasks placed", lambda: sum(
                system.metric(i, "lovagerock_jobs_running") for i in range(3)) == jobs)
            print(f"tasks={tasks}: placed {time.monotonic() - start:.1f} s after the first "
                  "submission", flush=True)
            time.sleep(5)
            show(f"workers=1000 tasks={tasks}", system.measure(20))
        states = system.lease_states()
        sizes = {}
        for state, size in states:
            sizes.setdefault(len(state["leases"]), []).append(size)
        for leases, values in sorted(sizes.items()):
            print(f"state answer with {leases} leases: {sum(values) / len(values):.0f} B "
                  f"({len(values)} workers)")
        records = json.loads(call(system.kv, "GET", "/v1/kv/lovagerock/jobs/?recurse")[1])
        mean = sum(len(it["Value"]) for it in records) * 3 / 4 / len(records)
        print(f"job record of 20 tasks: {mean:.0f} B ({len(records)} records)")
        before = system.sample()
        start = time.monotonic()
        submit(system, jobs, 512)
        await_condition("the gang of 512 is placed", lambda: sum(
            system.metric(i, "lovagerock_jobs_running") for i in range(3)) == jobs + 1)
        took = time.monotonic() - start
        time.sleep(3)
        after = system.sample()
        name = f"node-{system.planner()}"
        print(f"gang of 512: placed after {took * 1000:.0f} ms, planner cpu_s="
              f"{after[name]['cpu'] - before[name]['cpu']:.2f} in "
              f"{after['time'] - before['time']:.1f} s, kv calls of the planner="
              f"{after[name]['kv'] - before[name]['kv']:.0f}")


def measure_design(options):
    """The planner's memory with the workers and tasks of one region at the design size."""
    with System(options, 2300, 3) as system:
        time.sleep(5)
        show("workers=2300 tasks=0", system.measure(10))
        jobs = 0
        while jobs * 20 < 11000:
            submit(system, jobs, 20)
            jobs += 1
        await_condition("11000 tasks placed", lambda: sum(
            system.metric(i, "lovagerock_jobs_running") for i in range(3)) == jobs)
        time.sleep(5)
        show("workers=2300 tasks=11000, after 5 s", system.measure(10))
        time.sleep(30)
        show("workers=2300 tasks=11000, after 45 s", system.measure(10))


SCENARIOS = {"workers": measure_workers, "list": measure_list,
             "list-changes": measure_list_changes, "nodes": measure_nodes,
             "idle": measure_idle, "accounts": measure_accounts, "tasks": measure_tasks,
             "design": measure_design}


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    parser.add_argument("--bin", default=os.path.join(root, "build", "bin"))
    parser.add_argument("--only", choices=sorted(SCENARIOS))
    parser.add_argument("--network", default="127.77.0", help="first three numbers of the addresses")
    options = parser.parse_args()
    start = time.monotonic()
    print(f"load average {os.getloadavg()[0]:.1f}, {os.cpu_count()} cores", flush=True)
    for name, scenario in SCENARIOS.items():
        if options.only in (None, name):
            scenario(options)
    bench = os.path.join(options.bin, "placement_bench")
    if options.only is None and os.path.exists(bench):
        print(subprocess.run([bench], capture_output=True, text=True, timeout=120,
                             check=True).stdout)
    print(f"took {time.monotonic() - start:.0f} s")


if __name__ == "__main__":
    main()
