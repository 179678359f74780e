"""A planned stop closes connections without an answer to submissions that still wait for a slot."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from mesh import *  # noqa: E402,F403

HERE = os.path.dirname(os.path.abspath(__file__))
HOST = "kaje25.example"
SLOTS = 16                # of each of the two instances
SEARCH_WORK = 6.6         # of a search; searches fill all slots
SUBMIT_WORK = 0.21
SUBMISSIONS = 16
TIMEOUT = 8.0             # of both routes, and the clients' deadline
GRACE = 6.0


async def main(mesh):
    record, ran, ended = mesh.record, {}, {}

    async def handler(request):
        await request.drain_body()
        ran[request.id] = time.monotonic()
        record(f"instance {request.vm.id} runs {request.id} {request.path}")
        await asyncio.sleep(SEARCH_WORK if "search" in request.path else SUBMIT_WORK)
        await request.reply(200, b"done\n")

    entry, other = mesh.add_vm("board", handler), mesh.add_vm("board", handler)
    for _ in range(2):
        mesh.add_vm("desk", handler, slots=SLOTS)
    await mesh.start(config(7, [
        route("r-search", "safe", HOST, "/deka70/search/", "desk", 8000, priority=2, aim_ms=2000),
        route("r-submit", "unsafe", HOST, "/sewu861/", "desk", 8000, priority=0, aim_ms=1500),
    ], ["board", "desk"]))

    async def send(vm, method, path, size):
        reader, writer = await asyncio.open_connection(*vm.address("outbound"))
        name = new_id()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                     f"Endivescale-Request-Id: {name}\r\nEndivescale-Deadline-Ms: 8000\r\n"
                     f"Content-Length: {size}\r\n\r\n".encode() + bytes(size))
        await writer.drain()
        sent = time.monotonic()
        record(f"client sends {name} {path} to {vm.name}")
        try:
            status, _, _, whole = await asyncio.wait_for(read_answer(reader), TIMEOUT + 2)
            result = f"{status} whole={whole}" if whole else "an incomplete answer"
        except (asyncio.IncompleteReadError, ConnectionError) as err:
            status, result = None, f"closed without an answer ({type(err).__name__})"
        ended[name] = (path, sent, time.monotonic(), status)
        record(f"client: {name} {path} {result} after {time.monotonic() - sent:.2f} s")
        writer.close()

    tasks = [asyncio.create_task(send(other, "GET", f"/deka70/search/{n:x}", 0))
             for n in range(2 * SLOTS)]
    await asyncio.sleep(0.3)
    tasks += [asyncio.create_task(send(entry, "POST", f"/sewu861/{n:x}", 1200))
              for n in range(SUBMISSIONS)]
    await asyncio.sleep(0.2)
    if TROUBLE:
        record(f"SIGTERM to {entry.name}")
        entry.process.send_signal(signal.SIGTERM)
    stopped = time.monotonic()
    await asyncio.gather(*tasks)
    record(f"{entry.name} has ended: {entry.process.poll()}")
    if len(ran) < 2 * SLOTS:
        raise CannotRun("the searches did not fill the slots")
    return [f"{name} was sent {stopped - sent:.2f} s before the SIGTERM, "
            f"{'had begun to run' if name in ran else 'had not begun to run'}, and its "
            f"connection was closed without an answer {end - stopped:.2f} s after it"
            for name, (path, sent, end, status) in ended.items()
            if "sewu861" in path and status is None and end < sent + TIMEOUT - 0.2]


run(main, HERE)
