"""A booking runs twice after the connection of a client stub was reset.

A booking's first try runs. Its stub has stopped waiting and writes a further try on a connection that carries
another request too. That connection is reset as the answer of the other request comes, and the stub at once
tries again on another connection.
"""

import sys
import tempfile
import time
from pathlib import Path

from review.common import (
    BROKEN,
    HELD,
    HOST,
    NOT_RUN,
    TROUBLE,
    WINDOW,
    Agent,
    Announce,
    Answered,
    Client,
    Processes,
    Record,
    command_line,
    free_port,
    log_has,
    wait_for,
    write_config,
)

FOLDER = Path(__file__).resolve().parent

BOOKINGS = 6
RUN = {"schedule-read": 0.02, "firing-book": 0.3}  # s on the agent
PATIENCE = 0.2  # s until a stub stops waiting for a booking's first try


def run(folder: Path, record: Record) -> int:
    """Run the case."""
    agent = Agent(record, lambda stage, body: RUN[stage])
    port = free_port()
    log = folder / "log"
    write_config(folder / "config.json", "n1", port, agent, Announce())
    requests: list[Answered] = []
    with Processes(record) as processes:
        processes.start(command_line(), log, {"ROUTER_CONFIG": str(folder / "config.json")})
        if not wait_for(lambda: log_has(log, "phase", phase="serving"), 20):
            return NOT_RUN
        steady = Client("steady", (HOST, port), agent, record)
        for booking in range(BOOKINGS):
            body, key = f"booking-{booking}".encode(), f"{booking:032x}"

            def number(place: int, booking: int = booking) -> str:
                return f"{booking:08x}{place:08x}"

            first = steady.send(number(1), "firing-book", body, key)
            requests.append(first)
            time.sleep(PATIENCE)
            other = Client(f"other-{booking}", (HOST, port), agent, record)
            read = other.send(number(2), "schedule-read", b"free slots")
            if not wait_for(lambda: read.kind, 5, 0.0002):  # noqa: B023
                return NOT_RUN
            requests.append(other.send(number(3), "firing-book", body, key, again=True))
            if TROUBLE:
                other.reset()
            last = steady.send(number(4), "firing-book", body, key, again=True)
            requests.append(last)
            wait_for(lambda: first.kind and last.kind, 5)  # noqa: B023
            time.sleep(0.5)
    bodies = [body for _, _, stage, body in agent.runs if stage == "firing-book"]
    if len(set(bodies)) < BOOKINGS:
        return NOT_RUN
    twice = [
        (body, [round(at, 3) for at, _, _, other in agent.runs if other == body])
        for body in sorted(set(bodies))
        if bodies.count(body) > 1
    ]
    inside = [(body, times) for body, times in twice if times[1] - times[0] < WINDOW]
    record.write(f"{len(bodies)} runs of {BOOKINGS} bookings; run twice within the window: {len(inside)}")
    for body, times in inside:
        record.write(f"{body.decode()} was run at {', '.join(map(str, times))}")
    return BROKEN if inside else HELD


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        result = run(Path(temporary), Record(FOLDER))
    sys.exit(result)
