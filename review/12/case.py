"""An endpoint leaves: its entry is removed, and it serves for some more seconds. 0.1 s later all open
connections to the platform's store fall silent for good, while new ones work. This happens twice. Checks DRAIN:
from machines in touch, no request reaches the endpoint later than `drain` after the store has confirmed the
removal."""
import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-3"))
from runner import require, run
from fleet import route, success

RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CONTACT_S = 3.0
SILENCE_S = 0.5      # How long the silence counts, though new connections work at once.
DRAIN_S = 2.0
SETTLE_S = 6.0       # From the hosts' start to the removal of the entry.
SILENT_AFTER_S = 0.1 # From the removal to the silence.
SERVES_ON_S = 6.0    # After the removal; then the endpoint exits.
HOSTS = 3
ENDPOINTS = 5
ROUNDS = 2
WORK_S = 0.1
CLIENTS = 24


class Link:
    """Passes bytes between the hosts and the store. `fall_silent` stops all connections that are open then:
    nothing passes any more, and nothing is closed."""

    def __init__(self, ip, store_address):
        self.ip = ip
        self.store_address = store_address.split(":")
        self.open = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = f"{self.ip}:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        connection = {"silent": False}
        self.open.append(connection)
        try:
            store_reader, store_writer = await asyncio.open_connection(*self.store_address)
            await asyncio.gather(self.copy(reader, store_writer, connection),
                                 self.copy(store_reader, writer, connection))
        except (ConnectionError, asyncio.CancelledError):
            pass

    async def copy(self, reader, writer, connection):
        while data := await reader.read(1 << 16):
            if connection["silent"]:
                return
            writer.write(data)
            await writer.drain()
        if not connection["silent"]:
            writer.close()

    def fall_silent(self):
        for connection in self.open:
            connection["silent"] = True


async def play(fleet, requests):
    link = Link(f"{fleet.network}.2", fleet.store.address)
    await link.start()
    arrivals = []  # (time, target, attempt)

    async def handle(target, request):
        arrivals.append((time.monotonic(), target.name, request["id"]))
        requests.ran(request["id"], target.name)
        await asyncio.sleep(WORK_S)
        return success(request, b"placed")

    for index in range(ENDPOINTS):
        await fleet.add_target(f"i-{index}", "order-desk", handle)
    await fleet.store.put_json("op", "config", fleet.config(
        1, [route("place", "/order/", "unsafe", "order-desk")], ["order-desk"]))
    store_address, fleet.store.address = fleet.store.address, link.address
    hosts = [await fleet.add_host() for _ in range(HOSTS)]
    for host in hosts:
        await host.wait_ready()
    fleet.store.address = store_address
    is_over = False
    statuses = []

    async def client(number):
        count = 0
        while not is_over:
            count += 1
            attempt = f"order-{number}-{count}"
            statuses.append(await requests.send(hosts[number % len(hosts)], "/order/new", attempt,
                                                attempt.encode()))
            await asyncio.sleep(0.02)

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    violations = []
    for leaving in fleet.targets[:ROUNDS]:
        await asyncio.sleep(SETTLE_S)
        leaving.beat.cancel()
        await fleet.store.put("servers", leaving.name, None)
        removed = time.monotonic()
        fleet.record(f"the entry of {leaving.name} is removed; the endpoint serves for {SERVES_ON_S} s more")
        await asyncio.sleep(SILENT_AFTER_S)
        silence = time.monotonic()
        if HAS_TROUBLE:
            link.fall_silent()
            fleet.record("all open connections to the store fall silent; new ones work")
        await asyncio.sleep(SERVES_ON_S)
        exit_time = time.monotonic()
        leaving.server.close()
        for writer in list(leaving.writers):
            writer.transport.abort()
        fleet.record(f"{leaving.name} exits")
        in_touch_again = silence + SILENCE_S + CONTACT_S if HAS_TROUBLE else silence
        late = []
        for when, name, attempt in arrivals:
            if name != leaving.name or not removed < when < exit_time:
                continue
            is_late = when > removed + DRAIN_S and when > in_touch_again
            late += [when] if is_late else []
            fleet.record(f"{attempt} reaches {name} {when - removed:.3f} s after the removal and "
                         f"{when - silence:.3f} s after the silence, too late: {is_late}")
        fleet.record(f"{len(late)} requests reached {leaving.name} later than drain after its removal, from "
                     "machines in touch")
        if late:
            violations.append(f"DRAIN: {len(late)} requests reached {leaving.name} up to "
                              f"{late[-1] - removed:.3f} s after the store had confirmed its removal, from "
                              "machines in touch")
    is_over = True
    await asyncio.wait(clients, timeout=8)
    served = statuses.count(200)
    fleet.record(f"{served} of {len(statuses)} orders were answered with success")
    require(served > len(statuses) / 2, "fewer than half of the orders were answered with success")
    return violations


run(play, RECORD, HAS_TROUBLE, 60)
