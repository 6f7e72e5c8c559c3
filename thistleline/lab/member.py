"""The program as its users start it, with a clock and a disk of the laboratory: `python -m
thistleline.lab.member SUB ...`, told by the environment.

    LAB_CLOCK   {"rate": 1.2, "wall_ahead_s": 3600}: its clocks go so fast, and its wall clock is so far ahead
    LAB_DISK    a file; what stands in it holds from the next sync on: "fail", "slow" (each takes 0.7 s), or
                nothing
    LAB_WITHOUT a protection that is left out: "pre-vote", "drift", "clock" (the holder's own); of the feed
                "majority" (a group goes before a majority of keepers has it), "newer" (who is behind serves,
                and an older snapshot is taken)
"""

import errno
import json
import os
import sys
import threading
import time
from pathlib import Path

SLOW = 0.7  # s


def tell_clock() -> None:
    """Before anything else imports the clocks by name."""
    from thistleline.store import clock

    told = json.loads(os.environ.get("LAB_CLOCK", "{}"))
    rate, ahead = float(told.get("rate", 1.0)), int(told.get("wall_ahead_s", 0)) * 1000
    begun, boot_now, wall_ms = clock.boot_now(), clock.boot_now, clock.wall_ms
    setattr(clock, "boot_now", lambda: begun + int((boot_now() - begun) * rate))  # noqa: B010
    setattr(clock, "wall_ms", lambda: wall_ms() + ahead)  # noqa: B010


def tell_disk() -> None:
    from thistleline.store import disk

    told = os.environ.get("LAB_DISK")
    if told is None:
        return
    path, sync = Path(told), disk.Disk.sync

    def faulty(self: disk.Disk) -> None:
        how = path.read_text() if path.exists() else ""
        if how == "fail":
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if how == "slow":
            time.sleep(SLOW)
        sync(self)

    setattr(disk.Disk, "sync", faulty)  # noqa: B010


def leave_out() -> None:
    left_out = os.environ.get("LAB_WITHOUT", "")
    if left_out == "pre-vote":
        from thistleline.consensus.elections import Elections

        def stand(self: Elections) -> None:
            self.state.leader = ""
            self.start_election()

        setattr(Elections, "start_pre_vote", stand)  # noqa: B010
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
        leave_out_newer()


def leave_out_newer() -> None:
    from thistleline.config_feed.follower import Follower
    from thistleline.config_feed.messages import Follow, FollowAccepted
    from thistleline.config_feed.source import Source
    from thistleline.config_feed.subscriber import Subscriber
    from thistleline.config_feed.table import FeedTable

    follow, welcomed = Source._on_follow, Follower._on_accepted

    def behind(self: Source, peer: int, subscriber: Subscriber, told: Follow) -> str:
        if told.sequence > self.history.table.sequence:
            told = Follow(told.id, told.kind, 0, b"", told.level)
        return follow(self, peer, subscriber, told)

    def older(self: Follower, told: FollowAccepted) -> None:
        if told.load_snapshot and told.sequence < self.table.sequence:
            self.table = FeedTable()
        welcomed(self, told)

    setattr(Source, "_on_follow", behind)  # noqa: B010
    setattr(Follower, "_on_accepted", older)  # noqa: B010


def end_with_parent() -> None:
    def wait() -> None:
        while os.read(0, 1):
            pass
        os._exit(9)

    threading.Thread(target=wait, daemon=True).start()


def main() -> int:
    end_with_parent()
    tell_clock()
    tell_disk()
    leave_out()
    if sys.argv[1:2] == ["contender"]:
        from thistleline.lab.contender import main as contend

        return contend(sys.argv[2])
    if sys.argv[1:2] == ["subscriber"]:
        from thistleline.lab.subscriber import main as follow

        return follow(sys.argv[2])
    from thistleline.cli.main import main as command

    return int(command(sys.argv[1:]) or 0)


if __name__ == "__main__":
    sys.exit(main())
