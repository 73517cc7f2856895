"""One of seven endpoints crashes while it sends downloads, on connections whose callers have sent further
safe requests."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from small import (Deployment, Endpoint, encode_request, make_config, make_route, make_tenant,
                   new_id, read_response, run_case)

CLIENTS = 14
FURTHER = 3           # Safe requests that a client sends behind its download.
DOWNLOAD_BYTES = 200_000
PIECES = 20
CRASH_AFTER_S = 5
DURATION_S = 9


async def send_download(endpoint, line, headers, body, writer):
    """A sound endpoint: sends the body in 20 pieces over 0.6 s. Ends at once if it has crashed."""
    attempt = headers["x-attempt-id"]
    endpoint.writers.add(writer)
    try:
        response = endpoint.response(attempt, DOWNLOAD_BYTES)
        step = len(response) // PIECES + 1
        for start in range(0, len(response), step):
            if endpoint.crashed:
                return False
            writer.write(response[start:start + step])
            await writer.drain()
            await asyncio.sleep(0.6 / PIECES)
        return True
    finally:
        endpoint.writers.discard(writer)


async def crash(record, deployment, endpoint):
    """The process of the endpoint ends: its connections are reset, new ones refused."""
    record(f"endpoint {endpoint.ident} crashes while it sends {len(endpoint.writers)} downloads")
    endpoint.crashed = True
    endpoint.server.close()
    for writer in list(endpoint.writers):
        writer.transport.abort()
    deployment.endpoints.remove(endpoint)


async def run_client(record, host, sound, lost, until):
    connection = None
    answered = 0
    while time.monotonic() < until:
        if connection is None:
            connection = await asyncio.open_connection(*host.front)
            answered = 0
        reader, writer = connection
        download = new_id()
        further = [new_id() for _ in range(FURTHER)]
        record(f"client sends download {download} and, behind it, safe {' '.join(further)}")
        writer.write(encode_request("GET", "/pack/1", download, "k1", 4000))
        await asyncio.sleep(0.05)
        for attempt in further:
            writer.write(encode_request("GET", "/stock/1", attempt, "k1", 4000))
        for position, attempt in enumerate([download] + further):
            answer = await read_response(reader)
            if answer is not None:
                answered += 1
                continue
            record(f"client's connection ends without a whole answer to {attempt}, "
                   f"after {answered} answers on it")
            for other in ([download] + further)[max(position, 1):]:
                by = [endpoint.ident for endpoint in sound if endpoint.runs.get(other)]
                record(f"safe request {other} on that connection: "
                       f"{'run by the sound ' + by[0] if by else 'not run'}, no answer")
                if by and answered > 0:
                    lost.append(other)
            writer.close()
            connection = None
            break
        else:
            if answer[1].get("connection", "").lower() == "close":
                writer.close()
                connection = None


async def main(record, trouble):
    deployment = Deployment(record, {"tunis-a": "tunis"})
    lost = []
    try:
        shelf = [Endpoint(record, f"shelf-{index}", "template-shelf", "tunis-a")
                 for index in range(7)]
        for endpoint in shelf:
            endpoint.behave = send_download
            endpoint.crashed = False
            endpoint.writers = set()
        desk = [Endpoint(record, f"desk-{index}", "order-desk", "tunis-a", work_s=0.2)
                for index in range(10)]
        await deployment.start(
            make_config(["order-desk", "template-shelf"],
                        [make_route("stock-check", "/stock/", "safe", "order-desk"),
                         make_route("artwork-pack", "/pack/", "download", "template-shelf")],
                        [make_tenant("t1", ["k1"])]),
            shelf + desk, ["tunis-a"])
        host = deployment.hosts[0]
        started = time.monotonic()
        clients = [asyncio.ensure_future(run_client(record, host, desk, lost,
                                                    started + DURATION_S))
                   for _ in range(CLIENTS)]
        await asyncio.sleep(CRASH_AFTER_S)
        if trouble:
            busiest = max(shelf, key=lambda endpoint: len(endpoint.writers))
            await crash(record, deployment, busiest)
        await asyncio.gather(*clients)
        record(f"safe requests from kept connections that sound endpoints have run and that ended "
               f"without an answer: {len(lost)} (more than three break LOST)")
        return len(lost) <= 3
    finally:
        await deployment.stop()


run_case(main)
