"""Schema of a settings file: a struct for each section, with a field for each setting.

The names of sections and fields are part of the file format; renaming one breaks existing files.
"""

from pathlib import Path
from typing import Annotated, Literal, NewType

import msgspec

from thistleline.transport.address import Address

Duration = NewType("Duration", int)  # ns


class LedgerConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `ledger`: where a server stores tasks with an idempotency key across restarts.

    Attributes:
        folder: Folder of the segments.
        disk: Limit on the total size of the segments, in bytes.
        results: Limit on the size of results in memory, in bytes.
    """

    folder: Path
    disk: Annotated[int, msgspec.Meta(ge=1 << 20, le=1 << 40)] = 64 << 20
    results: Annotated[int, msgspec.Meta(ge=0, le=1 << 36)] | None = None


class HandoverConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `handover`: where a server and its successor on the same machine find each other.

    Requires the section `ledger` in a server's file.
    """

    folder: Path


class ConsensusConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `council`: a replica of the consensus cluster; with `voter` alone, how to reach the replicas.

    Attributes:
        folder: Folder of the replica's log.
        name: Name of the replica.
        listen: Address that the replica listens on.
        voter: Addresses of all replicas by name, one line for each.
        via: Other addresses that this replica uses to reach some of the replicas.
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
    """Section `members`: one member of the fleet, as other members see it.

    Attributes:
        name: Id of the member.
        listen: Address that the member listens on for datagrams.
        zone: Zone of the member.
        seed: Addresses of some members that this one contacts to join the fleet, one line for each.
        period: Interval between two probes.
    """

    name: Annotated[str, msgspec.Meta(pattern="^[a-zA-Z0-9._-]{1,64}$")]
    listen: Address
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""
    seed: dict[str, Address] = {}
    period: Annotated[Duration, msgspec.Meta(ge=50_000_000, le=60_000_000_000)] = Duration(1_000_000_000)


class SupervisorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `steward`: the supervisor of a machine's server.

    Requires the section `members` and lines `council voter`.

    Attributes:
        folder: Folder of the supervisor's own state.
        plate: File with the server's own configuration; its `settings` are replaced with those of the running
            version.
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
    """Section `conductor`: the controller that rolls a change out to the fleet.

    Requires the section `members` and lines `council voter`.

    Attributes:
        lease: TTL of the lease that ensures that only one controller is active at a time.
        slot: Duration of a measuring interval, in which each server is sampled once.
        change: How long a server may take to change its version.
        enough: Measuring intervals required before the verdict 'not worse' is allowed.
        patience: Measuring intervals without a verdict after which an operator is asked to decide.
    """

    lease: Annotated[Duration, msgspec.Meta(ge=1_000_000_000, le=600_000_000_000)] = Duration(10_000_000_000)
    slot: Annotated[Duration, msgspec.Meta(ge=100_000_000, le=600_000_000_000)] = Duration(5_000_000_000)
    change: Annotated[Duration, msgspec.Meta(ge=1_000_000_000, le=7200_000_000_000)] = Duration(
        120_000_000_000
    )
    enough: Annotated[int, msgspec.Meta(ge=3, le=100_000)] = 36
    patience: Annotated[int, msgspec.Meta(ge=3, le=1_000_000)] = 240


class FeedConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `feed`: a keeper (replica) or relay of the config feed; without `role`, how to reach one.

    Attributes:
        name: Name of this keeper or relay.
        listen: Address that it serves followers on.
        role: Whether this is a keeper or a relay.
        level: A relay's distance from the keepers; a relay follows keepers or relays with a lower level.
        folder: Folder of the archive; a keeper's must persist across restarts.
        keeper: Addresses of all keepers by name, one line for each.
        up: Keepers or relays that a relay follows; for a keeper, other addresses by which it reaches keepers.
        lease: TTL of the lease that ensures that only one keeper writes at a time.
        followers: Maximum number of followers that it serves.
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
    """A whole settings file; a missing section is None."""

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
# These settings may occur in several lines, each with a value `name=address`.
REPEATABLE_SETTINGS = {
    ("council", "voter"),
    ("council", "via"),
    ("members", "seed"),
    ("feed", "keeper"),
    ("feed", "up"),
}
