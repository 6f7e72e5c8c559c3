"""What a settings file may say: a struct for each section, whose fields are the names of its settings.

The names of sections and fields are the file's own, and stay as they are.
"""

from pathlib import Path
from typing import Annotated, Literal, NewType

import msgspec

from thistleline.transport.address import Address

Duration = NewType("Duration", int)  # ns


class LedgerConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `ledger`: where a server stores tasks with an idempotency key over restarts.

    Attributes:
        folder: Of the segments.
        disk: Bytes that all segments may take.
        results: Bytes of results in memory.
    """

    folder: Path
    disk: Annotated[int, msgspec.Meta(ge=1 << 20, le=1 << 40)] = 64 << 20
    results: Annotated[int, msgspec.Meta(ge=0, le=1 << 36)] | None = None


class HandoverConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `handover`: where a server and its successor on the same machine find each other.

    Needs the section `ledger` beside it in a server's file.
    """

    folder: Path


class ConsensusConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `council`: a replica of the consensus cluster, or with `voter` alone how to find one.

    Attributes:
        folder: Of the replica's log.
        name: Of the replica.
        listen: Where the replica listens.
        voter: Addresses of all replicas by name, in one line each.
        via: Other addresses by which this replica reaches some of them.
        heartbeat: Interval of the leader's heartbeats.
        election: Election timeout.
    """

    folder: Path | None = None
    name: Annotated[str, msgspec.Meta(pattern="^[a-z0-9-]{1,32}$")] | None = None
    listen: Address | None = None
    voter: dict[str, Address] = {}
    via: dict[str, Address] = {}
    heartbeat: Annotated[Duration, msgspec.Meta(ge=1_000_000, le=10_000_000_000)] = Duration(50_000_000)
    election: Annotated[Duration, msgspec.Meta(ge=10_000_000, le=60_000_000_000)] = Duration(500_000_000)


class MembershipConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `members`: one member of the fleet, as others see it.

    Attributes:
        name: Its id.
        listen: Where it listens for datagrams.
        zone: Where it is.
        seed: Addresses of some members by which it joins, in one line each.
        period: Between two probes.
    """

    name: Annotated[str, msgspec.Meta(pattern="^[a-zA-Z0-9._-]{1,64}$")]
    listen: Address
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""
    seed: dict[str, Address] = {}
    period: Annotated[Duration, msgspec.Meta(ge=50_000_000, le=60_000_000_000)] = Duration(1_000_000_000)


class SupervisorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `steward`: the supervisor of a machine's server.

    Needs the sections `members` and `council voter` beside it.

    Attributes:
        folder: Of its own state.
        plate: The server's own configuration; `settings` in it are those of the version that runs.
        releases: Folder of the releases; by default `releases` in `folder`.
        stop: How long a server may take to stop.
        warm: How long after its start a server counts as cold.
    """

    folder: Path
    plate: Path
    releases: Path | None = None
    stop: Annotated[Duration, msgspec.Meta(ge=10_000_000, le=600_000_000_000)] = Duration(5_000_000_000)
    warm: Annotated[Duration, msgspec.Meta(ge=0, le=3600_000_000_000)] = Duration(15_000_000_000)


class RolloutConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `conductor`: the controller that leads a change through the fleet.

    Needs the sections `members` and `council voter` beside it.

    Attributes:
        lease: TTL of the lease by which one controller at a time is active.
        slot: Length of a measurement.
        change: How long a server may take to change its version.
        enough: Measurements before 'not worse' may be concluded.
        patience: Measurements before a person is asked.
    """

    lease: Annotated[Duration, msgspec.Meta(ge=1_000_000_000, le=600_000_000_000)] = Duration(10_000_000_000)
    slot: Annotated[Duration, msgspec.Meta(ge=100_000_000, le=600_000_000_000)] = Duration(5_000_000_000)
    change: Annotated[Duration, msgspec.Meta(ge=1_000_000_000, le=7200_000_000_000)] = Duration(
        120_000_000_000
    )
    enough: Annotated[int, msgspec.Meta(ge=3, le=100_000)] = 36
    patience: Annotated[int, msgspec.Meta(ge=3, le=1_000_000)] = 240


class FeedConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `feed`: a keeper or relay of the config feed; without `role` how to find one.

    Attributes:
        name: Of this program.
        listen: Where it serves followers.
        role: What it is.
        level: Of a relay, which follows those of a lower level.
        folder: Of the archive; a keeper's must outlive it.
        keeper: Addresses of all keepers by name, in one line each.
        up: Whom it follows; for a keeper other addresses by which it reaches keepers.
        lease: TTL of the lease by which one keeper at a time writes.
        followers: How many it serves at most.
    """

    name: Annotated[str, msgspec.Meta(pattern="^[a-zA-Z0-9._-]{1,64}$")] | None = None
    listen: Address | None = None
    role: Literal["keeper", "relay"] | None = None
    level: Annotated[int, msgspec.Meta(ge=0, le=15)] = 0
    folder: Path | None = None
    keeper: dict[str, Address] = {}
    up: dict[str, Address] = {}
    lease: Annotated[Duration, msgspec.Meta(ge=500_000_000, le=600_000_000_000)] = Duration(3_000_000_000)
    followers: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 1024


class ProgramConfig(msgspec.Struct, frozen=True):
    """A whole settings file; a section that is not in it is None."""

    ledger: LedgerConfig | None = None
    handover: HandoverConfig | None = None
    council: ConsensusConfig | None = None
    members: MembershipConfig | None = None
    steward: SupervisorConfig | None = None
    conductor: RolloutConfig | None = None
    feed: FeedConfig | None = None


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "ledger": LedgerConfig,
    "handover": HandoverConfig,
    "council": ConsensusConfig,
    "members": MembershipConfig,
    "steward": SupervisorConfig,
    "conductor": RolloutConfig,
    "feed": FeedConfig,
}
# These settings take several lines, each with a value `name=address`.
REPEATABLE_SETTINGS = {
    ("council", "voter"),
    ("council", "via"),
    ("members", "seed"),
    ("feed", "keeper"),
    ("feed", "up"),
}
