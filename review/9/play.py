"""A request on a route with a trafficSplit crashes each endpoint that begins to run it, and comes again
every four seconds. Checks BUDGET: later than `contact` after its third crash, the request reaches
endpoints in at most three retries that are sent by machines in touch."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from fleet import Caller, encode_request, route, run_case, success

CONTACT_S = 3.0
INTERVAL_S = 4.0
SENDS = 18
CRASH_AFTER_S = 0.05
ENDPOINT_DOWN_S = 2.0
ENDPOINTS = 4  # Of each service.
# As the route of `roster-view`, which goes to three services at times.
SERVICES = ("records-hall", "status-desk", "renewal-till")
WORK_S = 0.3
BYSTANDERS = 9
MAX_RETRIES = 3


async def play(fleet, has_trouble):
    crashes = []  # (time, attempt)
    at_work = {}
    lost = []
    # For comparison only: SPLIT=0 sends the route to one service.
    services = SERVICES if os.environ.get("SPLIT", "1") != "0" else SERVICES[:1]

    async def handle(target, request):
        if request["path"] == "/roster/deadly":
            fleet.record(f"{target.name} begins {request['id']}"
                         + (" and crashes" if has_trouble else ""))
            await asyncio.sleep(CRASH_AFTER_S)
            if has_trouble:
                crashes.append((time.monotonic(), request["id"]))
                target.crash(ENDPOINT_DOWN_S)
                return None
        at_work[request["id"]] = target.name
        await asyncio.sleep(WORK_S)
        return success(request, b"done")

    for service in services:
        for index in range(ENDPOINTS):
            await fleet.add_target(f"i-{service}-{index}", service, handle)
    roster = route("roster", "/roster/", "unsafe", services[0])
    if len(services) > 1:
        del roster["service"]
        roster["trafficSplit"] = [{"service": service, "weight": 1} for service in services]
    await fleet.store.put_json("op", "config", fleet.config(
        1, [roster, *(route(service, f"/{service}/", "unsafe", service) for service in services)],
        services))
    hosts = [await fleet.add_host() for _ in range(3)]
    for host in hosts:
        await host.wait_ready()
    await asyncio.sleep(CONTACT_S)
    begin = time.monotonic()
    is_over = False
    reached = []  # Retries that reached an endpoint later than `contact` after the third crash.

    async def bystander(number):
        """Another caller, whose requests are lost when an endpoint crashes."""
        count = 0
        while not is_over:
            count += 1
            attempt = f"other-{number}-{count}"
            service = services[number // len(hosts) % len(services)]
            connection = Caller(hosts[number % len(hosts)])
            await connection.open()
            answer = await connection.ask(
                encode_request("POST", f"/{service}/new", attempt, attempt.encode()))
            connection.close()
            if attempt in at_work and (answer is None or answer[0] != 200):
                lost.append((time.monotonic(), attempt))
            await asyncio.sleep(0.1)

    async def send(number):
        host = hosts[number % len(hosts)]
        attempt = f"deadly-{number}"
        sent = time.monotonic()
        third = crashes[2][0] if len(crashes) >= 3 else None
        connection = Caller(host)
        await connection.open()
        answer = await connection.ask(
            encode_request("POST", "/roster/deadly", attempt, b"the same body"))
        connection.close()
        has_reached = any(one == attempt for _, one in crashes)
        fleet.record(f"caller sends {attempt} to {host.name}; "
                     f"answer {answer[0] if answer else 'none'}, crashed an endpoint: {has_reached}")
        if has_reached and third is not None and sent > third + CONTACT_S:
            reached.append(attempt)
            fleet.record(f"retry {len(reached)} that reaches an endpoint, "
                         f"{sent - third:.1f} s after the third crash")

    tasks = [asyncio.create_task(bystander(number)) for number in range(BYSTANDERS)]
    for number in range(SENDS):
        await asyncio.sleep(max(0.0, begin + number * INTERVAL_S - time.monotonic()))
        await send(number)
    await asyncio.sleep(1)
    is_over = True
    await asyncio.wait(tasks, timeout=8)
    late = sum(1 for when, _ in lost if len(crashes) > 3 and when > crashes[2][0] + CONTACT_S)
    fleet.record(f"{len(crashes)} crashes; {len(reached)} retries reached endpoints later than "
                 f"contact after the third ({MAX_RETRIES} are allowed); requests of other callers that "
                 f"were at an endpoint and not answered with success since then: {late}")
    if len(reached) <= MAX_RETRIES:
        return []
    return [f"BUDGET: the request reached endpoints in {len(reached)} retries: {reached}"]


run_case(pathlib.Path(__file__).resolve().parent, play, 115)
