"""A planned stop while pipelined requests run: are those that were passed on before it answered?"""
import os
import signal
import socket
import sys
import time
import traceback

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins

FOLDER = os.path.dirname(os.path.abspath(__file__))
CLIENTS = 3
REQUESTS = 3  # Sent by each client at once on one connection.
DEADLINE_MS = 4000
TIMEOUT = "4000ms"
WORK_S = 3.2  # With the time in the endpoint's queue.


def play(deployment):
    record = deployment.record
    deployment.start()
    ip = deployment.hosts["front-1"]["ip"]
    links, sent = [], []
    for number in range(CLIENTS):
        link = socket.create_connection((ip, 8668), 1)
        link.settimeout(10)
        attempts = []
        text = b""
        for place in range(REQUESTS):
            attempt, path = standins.attempt_id(), "/stock/2000/%d-%d" % (number, place)
            text += standins.head_of("GET", path, attempt, DEADLINE_MS)
            attempts.append((attempt, path))
            record.add("client %d sends %s GET %s" % (number, attempt, path))
        link.sendall(text)
        links.append(link)
        sent.append(attempts)
    time.sleep(0.15)
    running = {attempt for endpoint in deployment.endpoints for attempt in endpoint.ran}
    if not all(attempt in running for attempts in sent for attempt, _ in attempts):
        raise RuntimeError("not all requests were passed on at once")
    stopped = time.monotonic()
    if standins.TROUBLE:
        deployment.signal("front-1", signal.SIGTERM)
    lost = 0
    for number, link in enumerate(links):
        buffer = b""
        for attempt, path in sent[number]:
            answer, buffer = standins.read_answer(link, buffer)
            is_right = answer.end == "whole" and answer.body == standins.body_for(path)
            record.add("client %d gets for %s: status %d, %s, connection %s, %.2f s after the stop" % (
                number, attempt, answer.status, answer.end, answer.headers.get("connection", "-"),
                time.monotonic() - stopped))
            lost += 0 if is_right or answer.status >= 500 else 1
    done = {attempt for endpoint in deployment.endpoints for attempt in endpoint.answered}
    record.add("%d of %d requests were passed on before the stop and their connection ended without "
               "a complete answer; the endpoints had answered %d" % (
                   lost, CLIENTS * REQUESTS, len(done)))
    return lost > 0


def main():
    deployment = None
    try:
        deployment = standins.Deployment(
            FOLDER, 2, [("i-1", "desk", "guadalupe-a"), ("i-2", "desk", "guadalupe-a"),
                        ("i-3", "desk", "aburra-a")],
            [standins.route("stock", "/stock/", "safe", "desk", TIMEOUT, "3500ms")])
        for endpoint in deployment.endpoints:
            endpoint.work_s = WORK_S
            endpoint.answered = []
            endpoint.run = answer
        is_broken = play(deployment)
        print("LOST broken" if is_broken else "LOST held")
        return 1 if is_broken else 0
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        if deployment is not None:
            deployment.stop()


async def answer(endpoint, request, writer, own):
    """Answers in full, if the caller is still there."""
    is_open = await standins.Endpoint.answer(endpoint, request, writer, own)
    is_cut = writer.transport.is_closing()
    endpoint.record.add("%s has answered %s%s" % (
        endpoint.name, own["X-Attempt-Id"], ", the host had closed" if is_cut else ""))
    if not is_cut:
        endpoint.answered.append(own["X-Attempt-Id"])
    return is_open


if __name__ == "__main__":
    standins.leave(main())
