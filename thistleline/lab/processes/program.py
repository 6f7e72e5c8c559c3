"""The program as its users start it, with injected faults of its clocks and disk.

Started by `python -m thistleline.lab.processes.program SUB`.

Environment variables inject the faults:

    LAB_CLOCK   {"rate": 1.2, "wall_ahead_s": 3600}: rate of the clocks, and offset of the wall clock
    LAB_DISK    a file that holds the fault of each sync from now on: "fail", "slow" (each takes 0.7 s), or
                nothing
    LAB_WITHOUT a protection that is left out, to check that an oracle detects its absence:
                "pre-vote"  a replica starts elections without a pre-vote
                "drift"     a lease holder allows for no drift between clocks
                "clock"     a lease holder acts for ten times the length of its lease
                "majority"  the feed's writer publishes a group before a majority of keepers has it
                "newer"     a source serves a follower that is ahead of it, and a follower loads an older
                            snapshot

The process ends when its standard input does, so that it never outlives its harness.
"""

import errno
import json
import os
import sys
import threading
import time
from pathlib import Path

SLOW_SYNC_SECONDS = 0.7


def inject_clock_faults() -> None:
    """Replace the clocks; must be called before other modules import them by name."""
    from thistleline.store import clock

    fault = json.loads(os.environ.get("LAB_CLOCK", "{}"))
    rate = float(fault.get("rate", 1.0))
    ahead_ms = int(fault.get("wall_ahead_s", 0)) * 1000
    boot_now, wall_ms = clock.boot_now, clock.wall_ms
    started_at = boot_now()
    setattr(clock, "boot_now", lambda: started_at + int((boot_now() - started_at) * rate))  # noqa: B010
    setattr(clock, "wall_ms", lambda: wall_ms() + ahead_ms)  # noqa: B010


def inject_disk_faults() -> None:
    """Apply the fault in the file named by LAB_DISK to each sync."""
    from thistleline.store import disk

    name = os.environ.get("LAB_DISK")
    if name is None:
        return
    path, sync = Path(name), disk.Disk.sync

    def faulty_sync(self: disk.Disk) -> None:
        fault = path.read_text() if path.exists() else ""
        if fault == "fail":
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if fault == "slow":
            time.sleep(SLOW_SYNC_SECONDS)
        sync(self)

    setattr(disk.Disk, "sync", faulty_sync)  # noqa: B010


def leave_out_protection() -> None:
    """Leave out the protection named by LAB_WITHOUT."""
    left_out = os.environ.get("LAB_WITHOUT", "")
    if left_out == "pre-vote":
        from thistleline.consensus.elections import Elections

        def start_election(self: Elections) -> None:
            self.state.leader = ""
            self.start_election()

        setattr(Elections, "start_pre_vote", start_election)  # noqa: B010
    elif left_out == "drift":
        from thistleline.lease import holder

        setattr(holder, "holder_ttl", lambda length: length)  # noqa: B010
    elif left_out == "clock":
        from thistleline.lease import holder

        setattr(holder, "holder_ttl", lambda length: 10 * length)  # noqa: B010
    elif left_out == "majority":
        from thistleline.config_feed.writer import FeedWriter

        setattr(FeedWriter, "_slot_is_free", lambda self: True)  # noqa: B010
    elif left_out == "newer":
        leave_out_feed_order()


def leave_out_feed_order() -> None:
    """Let a source serve followers that are ahead of it, and a follower load an older snapshot."""
    from thistleline.config_feed.follower import Follower
    from thistleline.config_feed.messages import Follow, FollowAccepted
    from thistleline.config_feed.source import Source
    from thistleline.config_feed.subscriber import Subscriber
    from thistleline.config_feed.table import FeedTable

    on_follow, on_accepted = Source._on_follow, Follower._on_accepted

    def serve_while_behind(self: Source, peer: int, subscriber: Subscriber, request: Follow) -> str:
        if request.sequence > self.history.table.sequence:
            request = Follow(request.id, request.kind, 0, b"", request.level)
        return on_follow(self, peer, subscriber, request)

    def accept_older(self: Follower, answer: FollowAccepted) -> None:
        if answer.load_snapshot and answer.sequence < self.table.sequence:
            self.table = FeedTable()
        on_accepted(self, answer)

    setattr(Source, "_on_follow", serve_while_behind)  # noqa: B010
    setattr(Follower, "_on_accepted", accept_older)  # noqa: B010


def end_with_parent() -> None:
    """End this process at the end of its standard input, from a thread."""

    def wait() -> None:
        while os.read(0, 1):
            pass
        os._exit(9)

    threading.Thread(target=wait, daemon=True).start()


def main() -> int:
    """Inject the faults, then run a helper program of the lab or a command of the program."""
    end_with_parent()
    inject_clock_faults()
    inject_disk_faults()
    leave_out_protection()
    if sys.argv[1:2] == ["contender"]:
        from thistleline.lab.processes.lease_contender import main as contend

        return contend(sys.argv[2])
    if sys.argv[1:2] == ["subscriber"]:
        from thistleline.lab.processes.feed_subscriber import main as follow

        return follow(sys.argv[2])
    from thistleline.cli.main import main as command

    return int(command(sys.argv[1:]) or 0)


if __name__ == "__main__":
    sys.exit(main())
