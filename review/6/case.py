"""DRAIN: requests of a queue reach an instance that has left, see claim.txt.

With TROUBLE=0 the same is played, and the store is never silent.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
sys.dont_write_bytecode = True

import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the site.
DRAIN_S = 2.0
CONTACT_S = 3.0
# How long the store is silent.
SILENT_S = 0.25
# How long an instance serves on after `drain`, until it exits.
LONGER_S = 0.5
SERVICE = "alert-engine"
SLOTS = 16
WORK_S = 0.64
# Four instances serve 100 requests a second; a burst has 1.8 times the usual.
RATE = 95.0
BURST = 1.8
ROUNDS = 3


async def main():
    hosts = [f"127.0.77.{n}" for n in range(1, 5 + ROUNDS)]
    d = s.Deployment(FOLDER, hosts)
    try:
        return await play(d, hosts)
    finally:
        d.close()


async def play(d, hosts):
    record = d.record
    await d.start_store()
    d.store.put("op/config", s.config(
        7, [s.route("r-submit", "deti39.example", "/ra5/", "unsafe", SERVICE,
                    "5000ms", "1500ms", 0)], [SERVICE]))

    async def instance(n):
        machine = d.machines[n]
        return await s.Instance(record, d.store, f"i-{n}", SERVICE, machine.host, d.app_port,
                                machine.zone, SLOTS, WORK_S).start()

    for n, host in enumerate(hosts):
        d.add(f"sidecar-{n}", host, SERVICE, d.zones[n % 3], bootstrap=n < 4)
    with_clients = d.machines[:4]
    for machine in with_clients:
        machine.start()
    instances = [await instance(n) for n in range(4)]
    if not await d.wait_ready(with_clients):
        return 2
    traffic = s.Traffic(record, RATE)

    async def send(number):
        machine = with_clients[number % len(with_clients)]
        name = f"{number:016x}"
        record.write("sent", request=name, machine=machine.name)
        rsp = await s.request(record, machine.host, d.outbound, "POST", f"/ra5/{number}", [
            ("Host", "deti39.example"), ("Endivescale-Request-Id", name),
            ("Endivescale-Deadline-Ms", "5000")], b"x" * 1200, timeout=8.0)
        return name, rsp

    traffic.start(send)
    await asyncio.sleep(5.0)
    late = []
    for n in range(ROUNDS):
        # An instance joins with its machine.
        joining = d.machines[4 + n]
        joining.start()
        if not await d.wait_ready([joining]):
            return 2
        traffic.factor = BURST
        instances.append(await instance(4 + n))
        with_clients.append(joining)
        # The daemons wait 300 ms before they ask the store again.
        await asyncio.sleep(0.2)
        if TROUBLE:
            d.store.is_silent = True
            record.write("store-silent")
        await asyncio.sleep(SILENT_S)
        d.store.is_silent = False
        record.write("store-answers")
        await asyncio.sleep(CONTACT_S + 0.05)
        # An instance leaves, later than `contact` after the end of the disturbance.
        leaver = instances[n + 1]
        confirmed = leaver.drain()
        await asyncio.sleep(DRAIN_S + LONGER_S)
        with_clients.remove(d.machines[n + 1])
        leaver.exit()
        d.machines[n + 1].signal(signal.SIGTERM)
        traffic.factor = 1.0
        late += [(leaver.name, name, at - confirmed)
                 for at, name in leaver.arrivals if at > confirmed + DRAIN_S]
        await asyncio.sleep(6.0)
    await traffic.stop()
    for name, request, after in late:
        record.write("LATE", instance=name, request=request, after_confirmation=f"{after:.3f}")
    print(f"sent {traffic.sent}, answers {traffic.statuses}")
    print(f"reached a leaving instance later than {DRAIN_S} s after the confirmation: {len(late)}")
    for name, request, after in late:
        print(f"  {request} at {name}, {after:.3f} s after it")
    return 1 if late else 0


s.run(main)
