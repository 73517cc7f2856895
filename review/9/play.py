"""Endpoints turn slow, so that their large answers run into their route's timeout while they are
streamed. Checks LOST for the requests that the same caller has sent behind such an answer: no more than
three of them may be passed on to sound endpoints and end with the connection."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from fleet import Caller, encode_request, route, run_case, success

TIMEOUT_S = 2.0
PACK_BYTES = 90_000
PIECES = 18
PACK_S = 0.6  # A sound endpoint's time for one pack.
SLOW_FACTOR = 6
CHECK_S = 0.4
CHECKS_BEHIND = 4
CALLERS = 12
ROUNDS = 3
MAX_LOST = 3


async def play(fleet, has_trouble):
    passed_on = {}

    async def serve_pack(target, request):
        passed_on[request["id"]] = target.name
        factor = SLOW_FACTOR if has_trouble and target.name.startswith("i-slow") else 1
        return request, PACK_S * factor / PIECES

    async def serve_check(target, request):
        passed_on[request["id"]] = target.name
        fleet.record(f"{target.name} begins {request['id']}")
        await asyncio.sleep(CHECK_S)
        fleet.record(f"{target.name} answers {request['id']}")
        return success(request, b"in stock")

    async def handle_pack(target, request, writer):
        fleet.record(f"{target.name} begins {request['id']}")
        _, pause = await serve_pack(target, request)
        writer.write((f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request['id']}\r\n"
                      f"X-Response-Seal: seal-{request['id']}\r\n"
                      f"Content-Length: {PACK_BYTES}\r\n\r\n").encode())
        for _ in range(PIECES):
            await asyncio.sleep(pause)
            writer.write(b"p" * (PACK_BYTES // PIECES))
            await writer.drain()
        fleet.record(f"{target.name} has answered {request['id']}")

    # Two of five endpoints, the largest share of srv_slow in the site files.
    for name in ("i-slow-1", "i-slow-2", "i-fast-1", "i-fast-2", "i-fast-3"):
        await fleet.add_target(name, "template-shelf", handle_pack)
    for index in range(3):
        await fleet.add_target(f"i-desk-{index}", "order-desk", serve_check)
    # The time limit of the callers is 6 s, that of the routes 2 s, and all pack requests fit it at the
    # normal speed.
    limits = {"timeout": f"{int(TIMEOUT_S * 1000)}ms", "targetLatency": "1500ms"}
    await fleet.store.put_json("op", "config", fleet.config(
        1, [route("pack", "/pack/", "download", "template-shelf", **limits),
            route("check", "/check/", "safe", "order-desk", **limits)],
        ["template-shelf", "order-desk"]))
    host = await fleet.add_host()
    await host.wait_ready()
    lost = []

    async def call(caller, turn):
        name = f"c{caller}-{turn}"
        connection = Caller(host)
        await connection.open()
        # After this answer the connection is a kept one.
        first = await connection.ask(encode_request("GET", "/check/0", f"{name}-first"))
        if first is None or first[0] != 200:
            connection.close()
            return
        sent = time.monotonic()
        await connection.send(encode_request("GET", "/pack/1", f"{name}-pack"))
        await asyncio.sleep(TIMEOUT_S - CHECK_S / 2)
        checks = [f"{name}-check-{index}" for index in range(CHECKS_BEHIND)]
        await connection.send(b"".join(encode_request("GET", "/check/1", one) for one in checks))
        for attempt in [f"{name}-pack", *checks]:
            answer = await connection.receive()
            fleet.record(f"{name} gets {answer[0] if answer else 'no whole answer'} for {attempt}, "
                         f"{time.monotonic() - sent:.2f} s after the pack request")
            if answer is None:
                break
        else:
            connection.close()
            return
        for attempt in checks:
            if attempt in passed_on:
                lost.append(f"{attempt} was passed on to {passed_on[attempt]}, which is sound")
                fleet.record("LOST " + lost[-1])
        connection.close()

    for turn in range(ROUNDS):
        await asyncio.gather(*[call(caller, turn) for caller in range(CALLERS)])
        await asyncio.sleep(0.5)
    fleet.record(f"{len(lost)} requests were passed on and closed without an answer; "
                 f"{MAX_LOST} are allowed")
    return lost if len(lost) > MAX_LOST else []


run_case(pathlib.Path(__file__).resolve().parent, play)
