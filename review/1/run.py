"""A planned stop while callers pipeline safe requests: is a response that was passed on answered?"""
import json
import os
import signal
import socket
import sys
import threading
import time
import traceback
import urllib.request

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins

FOLDER = os.path.dirname(os.path.abspath(__file__))
CLIENTS = 6
BODY_BYTES = 400000  # The site's downloads have up to 540,000 bytes.
DEADLINE_MS = 4000
WORK_S = 0.8
# A client whose link takes 26 Mbit/s: it reads 16 KiB each 5 ms, with a small window.
READ_BYTES, READ_PAUSE_S, WINDOW_BYTES = 16384, 0.005, 32768


class Client:
    def __init__(self, number, ip, record):
        self.number, self.record = number, record
        self.link = socket.socket()
        self.link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.link.connect((ip, 8668))
        self.link.settimeout(10)
        self.buffer = b""
        self.sent = {}

    def send(self, name):
        path = "/pack/%d/%s%d" % (BODY_BYTES, name, self.number)
        attempt = standins.attempt_id()
        self.sent[name] = (attempt, path, time.monotonic())
        self.link.sendall(standins.head_of("GET", path, attempt, DEADLINE_MS))
        self.record.add("client %d sends %s GET %s" % (self.number, attempt, path))

    def read(self, name):
        attempt, path, sent = self.sent[name]
        answer, self.buffer = standins.read_answer(self.link, self.buffer, READ_BYTES, READ_PAUSE_S)
        answer.is_right = answer.end == "whole" and answer.body == standins.body_for(path)
        answer.after_ms = (time.monotonic() - sent) * 1000
        self.record.add("client %d gets for %s: status %d, %d bytes, %s after %d ms %s" % (
            self.number, attempt, answer.status, len(answer.body), answer.end, answer.after_ms,
            getattr(answer, "failure", "")))
        return answer


def look_up(ip):
    url = "http://%s:8665/v1/resolve?name=ficu95.example&region=antioquia-norte&zone=guadalupe-a" % ip
    with urllib.request.urlopen(url, timeout=1) as answer:
        return json.load(answer)


def in_parallel(clients, work):
    threads = [threading.Thread(target=work, args=(client,)) for client in clients]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def play(deployment):
    record = deployment.record
    deployment.start()
    ip = deployment.hosts["front-1"]["ip"]
    looked_up = time.monotonic()
    found = look_up(ip)
    record.add("look-up answers %s" % found)
    if not any(address.startswith(ip + ":") for address in found["addresses"]):
        raise RuntimeError("the look-up does not name front-1")
    clients = [Client(number, ip, record) for number in range(CLIENTS)]
    first = {}
    for client in clients:
        client.send("kept")
    in_parallel(clients, lambda client: first.update({client: client.read("kept")}))
    if not all(answer.is_right for answer in first.values()):
        raise RuntimeError("no answers before the stop")
    # The stop comes soon after the look-up, whose answer some clients keep for three times its
    # time to live.
    stopped = time.monotonic()
    if standins.TROUBLE:
        deployment.signal("front-1", signal.SIGTERM)
    time.sleep(2.5)
    for client in clients:
        client.send("first")
    time.sleep(0.6)
    for client in clients:
        client.send("behind")
    record.add("the last request was sent %.2f s after the look-up, %.2f s after the stop" % (
        time.monotonic() - looked_up, time.monotonic() - stopped))
    answers = {}
    in_parallel(clients, lambda client: answers.update({client: client.read("first")}))
    ran = {attempt for endpoint in deployment.endpoints for attempt in endpoint.ran}
    lost = [client for client in clients
            if not answers[client].is_right and client.sent["first"][0] in ran and
            answers[client].status not in (429, 503, 502, 504)]
    record.add("%d of %d requests were passed on to an endpoint that answered them in full, and "
               "their connection ended without a complete answer" % (len(lost), len(clients)))
    return bool(lost)


def main():
    deployment = None
    try:
        deployment = standins.Deployment(
            FOLDER, 2, [("i-1", "shelf", "guadalupe-a"), ("i-2", "shelf", "aburra-a")],
            [standins.route("pack", "/pack/", "download", "shelf", "4000ms", "2000ms")])
        for endpoint in deployment.endpoints:
            endpoint.work_s = WORK_S
        is_broken = play(deployment)
        print("LOST broken" if is_broken else "LOST held")
        return 1 if is_broken else 0
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        if deployment is not None:
            deployment.stop()


if __name__ == "__main__":
    standins.leave(main())
