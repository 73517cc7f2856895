"""An endpoint fails part of its requests with 503 after it has worked on them, without
X-Not-Executed. Checks REFUSED: no request that must not be repeated is answered 408, 421, 429 or
503 although it has run."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from fleet import Caller, encode_request, encode_response, route, run_case, success

CALLERS = 4
ORDERS_PER_CALLER = 15
WORK_S = 0.1
FAILED_EACH = 3  # The faulty endpoint fails each third request.
PROMISES = (408, 421, 429, 503)


async def play(fleet, has_trouble):
    runs = {}  # Attempt id: the endpoints that worked on it.
    orders = {}  # Order number: how often it was placed.
    arrived = 0

    async def handle(target, request):
        nonlocal arrived
        runs.setdefault(request["id"], []).append(target.name)
        await asyncio.sleep(WORK_S)
        order = request["body"].decode()
        orders[order] = orders.get(order, 0) + 1
        arrived += 1
        fails = has_trouble and target.name == "i-grey" and arrived % FAILED_EACH == 0
        status = 503 if fails else 200
        fleet.record(f"{target.name} ran attempt {request['id']} of order {order}: {status}")
        if not fails:
            return success(request, b"placed")
        return encode_response(503, [("x-attempt-id", request["id"]),
                                     ("x-response-seal", "seal-" + request["id"])],
                               b"the order is stored, the confirmation service does not answer")

    await fleet.add_target("i-grey", "order-desk", handle)
    await fleet.add_target("i-sound", "order-desk", handle)
    await fleet.store.put_json("op", "config", fleet.config(
        1, [route("place", "/order/", "unsafe", "order-desk")], ["order-desk"]))
    host = await fleet.add_host()
    await host.wait_ready()

    violations = []

    async def place(caller, number):
        order = f"{caller}-{number}"
        for attempt in ("a", "b"):  # The client repeats once, after a promise only.
            name = f"{order}-{attempt}"
            connection = Caller(host)
            await connection.open()
            fleet.record(f"caller sends attempt {name} of order {order}")
            answer = await connection.ask(
                encode_request("POST", "/order/new", name, order.encode()))
            connection.close()
            status = answer[0] if answer else "no answer"
            fleet.record(f"caller gets {status} for attempt {name}")
            if status not in PROMISES:
                return
            if name in runs:
                violations.append(f"attempt {name} was answered {status} and ran at {runs[name]}")

    async def call(caller):
        for number in range(ORDERS_PER_CALLER):
            await place(caller, number)

    await asyncio.gather(*[call(caller) for caller in range(CALLERS)])
    twice = sorted(order for order, count in orders.items() if count > 1)
    fleet.record(f"orders placed more than once, since the caller trusted the promise: {twice}")
    for violation in violations:
        fleet.record("BROKEN REFUSED: " + violation)
    return violations


run_case(pathlib.Path(__file__).resolve().parent, play)
