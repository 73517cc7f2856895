"""A request crashes each endpoint that begins to run it and comes again every five seconds; once, all
hosts are killed. Checks BUDGET: later than `contact` after its third crash, the request reaches
endpoints in at most three retries that are sent by machines in touch."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from fleet import Caller, encode_request, route, run_case, success

CONTACT_S = 3.0
INTERVAL_S = 5.0
SENDS = 16
KILL_AFTER_S = 16.0
DOWN_S = 0.5
CRASH_AFTER_S = 0.05
ENDPOINT_DOWN_S = 2.0
ENDPOINTS = 10
WORK_S = 0.3
BYSTANDERS = 8
MAX_RETRIES = 3


async def play(fleet, has_trouble):
    crashes = []  # (time, attempt)
    at_work = {}
    started = {}  # Host: when it was last started.
    lost = []

    async def handle(target, request):
        if request["path"] == "/order/deadly":
            fleet.record(f"{target.name} begins {request['id']} and crashes")
            await asyncio.sleep(CRASH_AFTER_S)
            crashes.append((time.monotonic(), request["id"]))
            target.crash(ENDPOINT_DOWN_S)
            return None
        at_work[request["id"]] = target.name
        await asyncio.sleep(WORK_S)
        return success(request, b"placed")

    for index in range(ENDPOINTS):
        await fleet.add_target(f"i-{index}", "order-desk", handle)
    await fleet.store.put_json("op", "config", fleet.config(
        1, [route("place", "/order/", "unsafe", "order-desk")], ["order-desk"]))
    hosts = [await fleet.add_host() for _ in range(3)]
    for host in hosts:
        await host.wait_ready()
        started[host.name] = time.monotonic()
    await asyncio.sleep(CONTACT_S)
    begin = time.monotonic()
    is_over = False
    reached = []  # Retries that reached an endpoint later than `contact` after the third crash.

    async def bystander(number):
        """Another caller, whose orders are lost when an endpoint crashes."""
        count = 0
        while not is_over:
            count += 1
            attempt = f"order-{number}-{count}"
            connection = Caller(hosts[number % len(hosts)])
            try:
                await connection.open()
                answer = await connection.ask(
                    encode_request("POST", "/order/new", attempt, attempt.encode()))
                connection.close()
            except OSError:
                answer = None
            if attempt in at_work and (answer is None or answer[0] != 200):
                lost.append((time.monotonic(), attempt))
            await asyncio.sleep(0.1)

    async def send(number):
        host = hosts[number % len(hosts)]
        attempt = f"deadly-{number}"
        sent = time.monotonic()
        is_in_touch = host.is_running() and sent - started[host.name] >= CONTACT_S
        before = len(crashes)
        third = crashes[2][0] if before >= 3 else None
        connection = Caller(host)
        try:
            await connection.open()
            answer = await connection.ask(
                encode_request("POST", "/order/deadly", attempt, b"the same body"))
            connection.close()
        except OSError:
            answer = None
        has_reached = any(one == attempt for _, one in crashes)
        fleet.record(f"caller sends {attempt} to {host.name}, in touch: {is_in_touch}; "
                     f"answer {answer[0] if answer else 'none'}, reached an endpoint: {has_reached}")
        if has_reached and is_in_touch and third is not None and sent > third + CONTACT_S:
            reached.append(attempt)
            fleet.record(f"retry {len(reached)} that reaches an endpoint, "
                         f"{sent - third:.1f} s after the third crash")

    async def kill_all():
        await asyncio.sleep(KILL_AFTER_S - 0.0)
        fleet.record("all hosts are killed at the same moment")
        for host in hosts:
            host.signal(signal.SIGKILL)
        for host in hosts:
            await host.process.wait()
        await asyncio.sleep(DOWN_S)
        for host in hosts:
            await host.start()
            started[host.name] = time.monotonic()
        fleet.record("all hosts are started again")

    tasks = [asyncio.create_task(bystander(number)) for number in range(BYSTANDERS)]
    if has_trouble:
        tasks.append(asyncio.create_task(kill_all()))
    for number in range(SENDS):
        await asyncio.sleep(max(0.0, begin + number * INTERVAL_S - time.monotonic()))
        await send(number)
    await asyncio.sleep(1)
    is_over = True
    await asyncio.wait(tasks, timeout=8)
    late = sum(1 for when, _ in lost if len(crashes) > 3 and when > crashes[2][0] + CONTACT_S)
    fleet.record(f"{len(crashes)} crashes; {len(reached)} retries reached endpoints later than "
                 f"contact after the third ({MAX_RETRIES} are allowed); orders of other callers that "
                 f"were at an endpoint and not answered with success since then: {late}")
    if len(reached) <= MAX_RETRIES:
        return []
    return [f"BUDGET: the request reached endpoints in {len(reached)} retries: {reached}"]


run_case(pathlib.Path(__file__).resolve().parent, play, 115)
