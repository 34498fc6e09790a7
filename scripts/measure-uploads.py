#!/usr/bin/env python3
"""Measures the memory of an entry node while callers stall in the middle of their uploads.

Starts one lovagerock-node on loopback addresses without a key-value service, opens connections that
send all but the last byte of a body, and prints VmRSS of /proc/<pid>/status before and after.
Usage: scripts/measure-uploads.py [--bin DIRECTORY] [--connections N] [--body BYTES] [-- NODE FLAGS]
"""

import argparse
import selectors
import socket
import subprocess
import time

WAIT_LIMIT = 20
# The senders get no further for this long: all bytes are taken, or the node doesn't read.
QUIET = 1.5


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


def rss_kib(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS:"))


def peak_rss_kib(pid):
    """The largest VmRSS until it has not grown for QUIET: the node may still read what was sent."""
    peak, last = rss_kib(pid), time.monotonic()
    while time.monotonic() - last < QUIET:
        time.sleep(0.05)
        now = rss_kib(pid)
        if now > peak:
            peak, last = now, time.monotonic()
    return peak


def connect(port):
    end = time.monotonic() + WAIT_LIMIT
    while True:
        try:
            return socket.create_connection(("127.0.0.1", port))
        except OSError:
            if time.monotonic() > end:
                raise
            time.sleep(0.05)


def send_all(sockets, payload):
    """Sends until nothing more is taken; gives the bytes sent in all and the closed connections."""
    selector = selectors.DefaultSelector()
    sent = dict.fromkeys(sockets, 0)
    closed = 0
    for it in sockets:
        it.setblocking(False)
        selector.register(it, selectors.EVENT_WRITE)
    last = time.monotonic()
    while selector.get_map() and time.monotonic() - last < QUIET:
        for key, _ in selector.select(0.1):
            try:
                n = key.fileobj.send(payload[sent[key.fileobj] : sent[key.fileobj] + 65536])
            except OSError:
                n, closed = 0, closed + 1
            sent[key.fileobj] += n
            last = time.monotonic()
            if n == 0 or sent[key.fileobj] == len(payload):
                selector.unregister(key.fileobj)
    return sum(sent.values()), closed


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--connections", type=int, default=400)
    parser.add_argument("--body", type=int, default=1024 * 1024)
    parser.add_argument("flags", nargs="*")
    arguments = parser.parse_args()
    ports = free_ports(5)
    names = ["--listen", "--peer-listen", "--admin-listen", "--kv", "--vm-list"]
    command = [f"{arguments.bin}/lovagerock-node", "--node-id", "n1", "--region", "local", "--zone", "a"]
    for name, port in zip(names, ports):
        command += [name, f"127.0.0.1:{port}"]
    with subprocess.Popen(command + arguments.flags, stderr=subprocess.DEVNULL,
                          stdout=subprocess.DEVNULL) as node:
        try:
            connect(ports[0]).close()
            before = rss_kib(node.pid)
            sockets = [connect(ports[0]) for _ in range(arguments.connections)]
            head = f"POST /v1/services/echo/requests HTTP/1.1\r\nHost: a\r\nContent-Length: {arguments.body}\r\n\r\n"
            sent, closed = send_all(sockets, head.encode() + b"x" * (arguments.body - 1))
            print(f"connections={arguments.connections} body={arguments.body} sent_mib={sent / 2**20:.1f} "
                  f"closed={closed} rss_before_mib={before / 1024:.1f} "
                  f"rss_stalled_mib={peak_rss_kib(node.pid) / 1024:.1f}")
        finally:
            node.kill()


if __name__ == "__main__":
    main()
