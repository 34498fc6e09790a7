#!/usr/bin/env python3
"""Sums the reports of scripts/overload.sh up by step and checks the stated outcomes.

Usage: scripts/overload-report.py --step SECONDS REPORT.json...
"""
import argparse
import json
import os
import statistics
import sys

STEPS = ("0.5", "1", "2", "0.5 again")
# The latency must be back this long after the overload.
RECOVERY_S = 3
# Rows at the begin of a step belong to the change of rate.
SETTLE_S = 1


def median(values):
    known = [it for it in values if it is not None]
    return statistics.median(known) if known else float("inf")


def rows_of(series, begin, end):
    return [it for it in series if begin * 1000 <= it["at_ms"] < end * 1000]


def total(rows, member):
    return sum(it[member] for it in rows)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--step", type=float, required=True)
    parser.add_argument("reports", nargs="+")
    arguments = parser.parse_args()
    step = arguments.step
    heavy, steady = [], []
    retries = 0
    for path in arguments.reports:
        with open(path, encoding="utf-8") as file:
            report = json.load(file)
        retries += report["requests"]["retries"]
        is_heavy = os.path.basename(path).startswith("heavy")
        (heavy if is_heavy else steady).append(report["series"])

    bounds = [(i * step, (i + 1) * step) for i in range(3)] + [(3 * step + RECOVERY_S, 5 * step)]
    print(f"{'load':>10} {'account':>8} {'sent/s':>8} {'ok/s':>8} {'late/s':>8} {'refused/s':>10} "
          f"{'failed/s':>9} {'p50_ms':>9} {'p99_ms':>9}")
    goodput, p99 = {}, {}
    for name, (begin, end) in zip(STEPS, bounds):
        first = begin + (0 if name == STEPS[3] else SETTLE_S)
        goodput[name] = 0
        for account, group in (("heavy", heavy), ("steady", steady)):
            rows = [row for series in group for row in rows_of(series, first, end)]
            seconds = end - first
            goodput[name] += total(rows, "ok") / seconds
            latency = [median(row[it] for row in rows) for it in ("p50", "p99")]
            p99[name, account] = latency[1]
            figures = [total(rows, it) / seconds for it in
                       ("sent", "ok", "late", "refused", "failed")]
            print(f"{name:>10} {account:>8} {figures[0]:8.0f} {figures[1]:8.0f} {figures[2]:8.0f} "
                  f"{figures[3]:10.0f} {figures[4]:9.0f} {latency[0]:9.2f} {latency[1]:9.2f}")
    print("latencies are medians over the intervals;", f"retries: {retries}")

    overload = [row for series in steady for row in rows_of(series, 2 * step, 3 * step)]
    share = total(overload, "ok") / max(1, total(overload, "sent"))
    ratio = goodput["2"] / max(1, *goodput.values())
    back = p99["0.5 again", "heavy"] / p99["0.5", "heavy"]
    outcomes = (
        (f"goodput at 2 times the capacity of the best: {ratio:.3f}, at least 0.9", ratio >= 0.9),
        (f"steady accounts answered in time during the overload: {share:.4f}, at least 0.99",
         share >= 0.99),
        (f"p99 from {RECOVERY_S} s after the overload to before: {back:.2f}, at most 2",
         back <= 2),
    )
    for text, met in outcomes:
        print(("met:    " if met else "MISSED: ") + text)
    return 0 if all(met for _, met in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
