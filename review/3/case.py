"""A booking is refused by a server that has handed over, after its successor began to run it.

The node is slow, and two bookings keep its two cores busy. A third waits in the first server when the next
server takes over. Its stub stops waiting and tries again, and the next server runs it. Then the first server
refuses the first try.
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
RUN = 2.8  # s: a booking of 0.42 s on a node that is 6.7 times slower
PATIENCE = 1.0  # s until the stub tries again


def run(folder: Path, record: Record) -> int:
    """Run the case."""
    agent = Agent(record, lambda stage, body: RUN)
    port = free_port()
    first_log, second_log = folder / "log-1", folder / "log-2"
    write_config(folder / "config.json", "n1", port, agent, Announce())
    conf = folder / "thistleline.conf"
    conf.write_text(f"ledger folder {folder}/ledger\nledger disk 64M\nhandover folder {folder}/handover\n")
    environ = {"ROUTER_CONFIG": str(folder / "config.json"), "THISTLELINE_CONF": str(conf)}
    with Processes(record) as processes:
        processes.start(command_line(), first_log, environ)
        if not wait_for(lambda: log_has(first_log, "phase", phase="serving"), 20):
            return NOT_RUN
        time.sleep(0.3)
        stub = Client("a", (HOST, port), agent, record)
        for place in range(2):
            stub.send(f"{place:016x}", "firing-book", f"other-{place}".encode(), f"{place:032x}")
        if not wait_for(lambda: len(agent.runs) == 2, 5):
            return NOT_RUN
        first = stub.send(f"{10:016x}", "firing-book", b"kiln-7", f"{10:032x}")
        if TROUBLE:
            record.write("the next server is started beside the one that serves")
            processes.start(command_line(), second_log, environ)
            if not wait_for(lambda: log_has(second_log, "succession", state="serves", followed=True), 10):
                return NOT_RUN
            record.write("the next server serves")
        time.sleep(max(0.0, first.sent_at + PATIENCE - time.monotonic()))
        again = Client("b", (HOST, port), agent, record)
        second = again.send(f"{11:016x}", "firing-book", b"kiln-7", f"{10:032x}", again=True)
        wait_for(lambda: first.kind and second.kind, 10)
        time.sleep(0.2)
    if not first.kind or not second.kind:
        return NOT_RUN
    begun = [at for at, _, _, body in agent.runs if body == b"kiln-7"]
    refused = [
        (request.id, request.answers[0][0] - begun[0])
        for request in (first, second)
        if request.kind == "rejected" and begun and 0 < request.answers[0][0] - begun[0] < WINDOW
    ]
    for id, after in refused:
        record.write(f"{id} was refused {after:.3f} s after kiln-7 began to run")
    record.write(f"first try: {first.kind}; second try: {second.kind}; runs of kiln-7: {len(begun)}")
    return BROKEN if refused else HELD


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        result = run(Path(temporary), Record(FOLDER))
    sys.exit(result)
