"""Case 6: a booking is run twice inside its window after a change of settings was taken back."""

import copy
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common_2 import (
    HAS_TROUBLE,
    SETTINGS,
    AgentStandIn,
    AnnounceStandIn,
    Case,
    CaseNotRunError,
    ClientStub,
    Server,
    free_port,
    run_case,
    task_fields,
)

RUN = 0.45  # s that a booking runs; the site's mean work is 300 to 520 ms
BOOKINGS = 6
WINDOW = 18.354  # s, of `firing-book`, from `since` of the try that ran
LIMIT = 6.1 + 0.15  # s from arrival to the last moment of an answer


def play(case: Case) -> bool:
    """Run bookings, restart with other settings and again with the first ones, and repeat the bookings."""
    agent = AgentStandIn(case, {"schedule-read": 0.25, "firing-book": RUN, "kiln-book": RUN})
    announce = AnnounceStandIn()
    port = free_port()
    parts = f"ledger folder {case.temporary}/ledger\n"
    changed = copy.deepcopy(SETTINGS)
    if HAS_TROUBLE:
        changed["classes"][1]["name"] = "kiln-book"
    server = start(case, "first", agent, announce, port, parts, SETTINGS)
    stub = ClientStub(case, "stub 1", server.address)
    bookings: list[tuple[int, str, bytes, float]] = []
    for number in range(BOOKINGS):
        key, body = os.urandom(16).hex(), b"shelf %d" % number
        bookings.append((stub.send(task_fields("firing-book", key), body), key, body, time.monotonic()))
    for seq, _, body, _ in bookings:
        answer = stub.wait_for(seq, LIMIT)
        if answer is None or answer[0] != "served":
            raise CaseNotRunError(f"{body.decode()} was not served at first")
    stop(case, server)
    case.note("the change of settings:", changed["classes"][1]["name"])
    server = start(case, "second", agent, announce, port, parts, changed)
    time.sleep(1.0)
    stop(case, server)
    case.note("the change is taken back")
    server = start(case, "third", agent, announce, port, parts, SETTINGS)
    stub = ClientStub(case, "stub 2", server.address)
    repeats = [stub.send(task_fields("firing-book", key, dup="1"), body) for _, key, body, _ in bookings]
    late = [body for _, _, body, sent_at in bookings if time.monotonic() > sent_at + WINDOW - 1.0]
    if late:
        raise CaseNotRunError("the repeats come too late for the window")
    for seq in repeats:
        stub.wait_for(seq, LIMIT)
    wrong = 0
    for _, _, body, _ in bookings:
        runs = agent.runs_of(body)
        if runs > 1:
            wrong += 1
            case.note("BROKEN:", body.decode(), "was run", runs, "times inside its window")
    print(f"{wrong} of {BOOKINGS} bookings were run twice inside their window")
    return wrong > 0


def start(case: Case, name: str, agent: AgentStandIn, announce: AnnounceStandIn, port: int, parts: str,
          settings: dict[str, object]) -> Server:  # fmt: skip
    """Start the server with these settings and wait until it serves."""
    server = Server(case, name, agent, announce, port, parts, settings=settings)
    server.wait_for('"phase":"serving"')
    return server


def stop(case: Case, server: Server) -> None:
    """Drain the server by SIGTERM and wait for its end."""
    server.process.terminate()
    case.note(server.log, "ended with", server.process.wait(10))


if __name__ == "__main__":
    run_case(__file__, play)
