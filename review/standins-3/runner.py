"""Runs a case of the third review with the stand-ins of the second one and records all its requests."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from fleet import Caller, CannotRun, Fleet, encode_request


class Requests:
    """Writes a line for each request: when it was sent, run and answered, in seconds since the start."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.open = {}  # Attempt: what happened to it, while it has no answer.

    def now(self):
        return time.monotonic() - self.fleet.started

    def ran(self, attempt, target_name):
        self.open.setdefault(attempt, []).append(f"run {self.now():.3f} by {target_name}")

    async def send(self, host, path, attempt, body):
        """Sends an order on a new connection. Returns the status, or None without an answer."""
        self.open.setdefault(attempt, []).append(f"sent {self.now():.3f} to {host.name}")
        caller = Caller(host)
        try:
            await caller.open()
            answer = await caller.ask(encode_request("POST", path, attempt, body))
            caller.close()
        except OSError:
            answer = None
        status = answer[0] if answer else None
        events = self.open.pop(attempt)
        self.fleet.record(f"{attempt}: {', '.join(events)}, "
                          f"{f'answered {status}' if status else 'ended without an answer'}")
        return status

    def finish(self):
        for attempt, events in self.open.items():
            self.fleet.record(f"{attempt}: {', '.join(events)}, nothing more until the end")


def ignore_cancelled(loop, context):
    """Connections that are open when the case ends are cancelled or broken."""
    if not isinstance(context.get("exception"), (asyncio.CancelledError, ConnectionError)):
        loop.default_exception_handler(context)


def keep_tasks(loop):
    """The loop refers to tasks weakly. Without another reference, a connection whose task only waits may be
    collected, which would reset it."""
    kept = set()

    def make_task(loop, coroutine, **arguments):
        task = asyncio.Task(coroutine, loop=loop, **arguments)
        kept.add(task)
        task.add_done_callback(kept.discard)
        return task

    loop.set_task_factory(make_task)


def run(play, record_path, has_trouble, limit_s):
    """Runs `play(fleet, requests)`, which returns the list of violations. Exits with 1 if there are any, 0 if
    there are none, 2 if the case could not run."""

    async def main():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(ignore_cancelled)
        keep_tasks(loop)
        fleet = Fleet(record_path.parent)
        fleet.record_file.close()
        fleet.record_file = open(record_path, "w")
        fleet.record(f"start, {'with' if has_trouble else 'without'} the disruption")
        requests = Requests(fleet)
        try:
            await fleet.start_store()
            return await asyncio.wait_for(play(fleet, requests), limit_s)
        finally:
            requests.finish()
            await fleet.stop()

    try:
        violations = asyncio.run(main())
    except Exception as failure:  # A fault of the stand-ins says nothing of the rule.
        print("the case could not run:", repr(failure))
        sys.exit(2)
    for violation in violations:
        print("BROKEN:", violation)
    print("the rule was broken" if violations else "the rule held")
    sys.exit(1 if violations else 0)


def require(condition, what):
    """Keeps a case from passing because nothing happened in it."""
    if not condition:
        raise CannotRun(what)
