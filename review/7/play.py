"""Many callers upload large bodies at once, each a quarter of maxBodyBytes. Checks LOST: no host
closes kept connections without an answer whose requests are at sound endpoints."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from fleet import MEMORY_MB, Caller, encode_request, route, run_case, success

HOSTS = 2
ROUNDS = 3
UPLOADS = 8
UPLOAD_BYTES = 16 << 20  # maxBodyBytes is 64 MiB.
SMALL_BYTES = 4000
BYSTANDERS = 12
WORK_S = 0.4
RESTART_DELAY_S = 0.3
MAX_LOST = 3


async def play(fleet, has_trouble):
    at_work = set()

    async def handle(target, request):
        at_work.add(request["id"])
        await asyncio.sleep(WORK_S)
        return success(request, b"stored %d bytes" % len(request["body"]))

    for index in range(6):
        await fleet.add_target(f"i-{index}", "order-desk", handle)
    await fleet.store.put_json("op", "config", fleet.config(
        1, [route("place", "/order/", "unsafe", "order-desk")], ["order-desk"]))
    hosts = [await fleet.add_host() for _ in range(HOSTS)]
    for host in hosts:
        await host.wait_ready()

    ended = {host.name: 0 for host in hosts}
    lost = []
    is_over = False

    async def watch(host):
        """The platform: ends a process above its memory limit and starts it again."""
        while not is_over:
            used = host.memory_mb()
            host.peak_mb = max(host.peak_mb, used)
            if used > MEMORY_MB and host.is_running():
                fleet.record(f"platform ends {host.name}: {used:.0f} MB are above {MEMORY_MB} MB")
                ended[host.name] += 1
                host.signal(signal.SIGKILL)
                await host.process.wait()
                await asyncio.sleep(RESTART_DELAY_S)
                await host.start()
            await asyncio.sleep(0.005)

    async def upload(host, name):
        body = b"x" * (UPLOAD_BYTES if has_trouble else SMALL_BYTES)
        connection = Caller(host)
        try:
            await connection.open()
            fleet.record(f"uploader sends {name}, {len(body)} bytes, to {host.name}")
            answer = await connection.ask(encode_request("POST", "/order/artwork", name, body))
            connection.close()
        except OSError:
            answer = None
        fleet.record(f"uploader gets {answer[0] if answer else 'no answer'} for {name}")

    async def bystander(host, name):
        """Places small orders on one kept connection."""
        connection, answered, number = None, 0, 0
        while not is_over:
            if connection is None:
                connection, answered = Caller(host), 0
                try:
                    await connection.open()
                except OSError:
                    connection = None
                    await asyncio.sleep(0.1)
                    continue
            number += 1
            attempt = f"{name}-{number}"
            answer = await connection.ask(
                encode_request("POST", "/order/new", attempt, b"small order"))
            if answer is not None:
                answered += 1
                fleet.record(f"{name} gets {answer[0]} for {attempt}")
                if answer[1].get("connection") != "close" and answer[0] == 200:
                    continue
            elif answered > 0 and attempt in at_work:
                lost.append(f"{attempt} was at an endpoint; {host.name} closed its kept connection "
                            "without an answer")
                fleet.record("LOST " + lost[-1])
            connection.close()
            connection = None
            await asyncio.sleep(0.05)

    tasks = [asyncio.create_task(watch(host)) for host in hosts]
    tasks += [asyncio.create_task(bystander(host, f"{host.name}-b{index}"))
              for host in hosts for index in range(BYSTANDERS)]
    await asyncio.sleep(3)
    for turn in range(ROUNDS):
        await asyncio.gather(*[upload(host, f"{host.name}-u{turn}-{index}")
                               for host in hosts for index in range(UPLOADS)])
        for host in hosts:
            await host.wait_ready()
        await asyncio.sleep(2)
    is_over = True
    await asyncio.wait(tasks, timeout=8)
    for host in hosts:
        fleet.record(f"{host.name}: ended {ended[host.name]} times for its memory, "
                     f"highest use seen {host.peak_mb:.0f} MB")
    violations = []
    if len(lost) > MAX_LOST:
        violations.append(f"LOST: {len(lost)} requests at sound endpoints, on kept connections, "
                          "were closed without an answer")
    if sum(count >= 3 for count in ended.values()) >= 2:
        violations.append(f"Fault: processes ended three times for their memory: {ended}")
    for violation in violations:
        fleet.record("BROKEN " + violation)
    return violations


run_case(pathlib.Path(__file__).resolve().parent, play)
