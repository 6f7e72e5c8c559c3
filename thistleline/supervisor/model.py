"""The desired version of a server, and the state that its supervisor keeps on disk.

The structs are encoded by field name, in records of the replicated log and in the state file: fields whose
names in code differ from the encoded ones give the encoded name explicitly.
"""

from typing import Literal

import msgspec

Phase = Literal[
    "recovering",
    "idle",
    "verifying",
    "spawning",
    "running",
    "succeeding",
    "stopping",
    "backing off",
    "failed",
]


class Version(msgspec.Struct, frozen=True):
    """Version of a server: a release and its settings, each with the digest of its content.

    Attributes:
        release: Name of the release; empty for none.
        digest: SHA-256 of the release's content, hexadecimal.
        settings: Number of the settings; 0 for the settings in the server configuration.
        settings_digest: SHA-256 of the settings' content, hexadecimal.
        readable_formats: Ledger formats that the release reads; empty if it does not declare them.
        written_format: Ledger format that the release writes; 0 if it does not declare it.
    """

    release: str = ""
    digest: str = ""
    settings: int = 0
    settings_digest: str = ""
    readable_formats: tuple[int, ...] = msgspec.field(name="reads", default=())
    written_format: int = msgspec.field(name="writes", default=0)


class DesiredVersion(msgspec.Struct, frozen=True):
    """The version that a rollout controller requests for a server, stored in the replicated log.

    Attributes:
        epoch: Fencing token: the epoch of the controller's lease. Records with an older epoch are refused.
        number: Number of the rollout that the request belongs to.
        version: The version to run.
        restart_token: A new value restarts the server with the same version; 0 requests no restart.
    """

    epoch: int
    number: int
    version: Version
    restart_token: int = msgspec.field(name="turn", default=0)

    def is_older_than(self, other: "DesiredVersion") -> bool:
        """Return whether `other` supersedes this one, by fencing token and rollout number."""
        return (self.epoch, self.number) < (other.epoch, other.number)


class SupervisorState(msgspec.Struct, frozen=True):
    """The state that a supervisor keeps on disk.

    Attributes:
        desired: The newest desired version that was accepted.
        running: Version of the current incarnation, whether or not its process runs.
        incarnation: Number of the current incarnation of the server; 0 before the first.
        last_good: The last version that ran for GOOD_AFTER without a crash.
        rejected: A desired version that this supervisor rejected; only a different one is followed.
        successor: Version of the incarnation that will take over from the current one.
        successor_incarnation: Number of the successor; 0 if there is none.
        last_incarnation: Greatest incarnation number ever assigned, if greater than `incarnation`.
    """

    desired: DesiredVersion | None = msgspec.field(name="want", default=None)
    running: Version | None = None
    incarnation: int = msgspec.field(name="life", default=0)
    last_good: Version | None = msgspec.field(name="good", default=None)
    rejected: DesiredVersion | None = msgspec.field(name="refused", default=None)
    successor: Version | None = msgspec.field(name="heir", default=None)
    successor_incarnation: int = msgspec.field(name="heir_life", default=0)
    last_incarnation: int = msgspec.field(name="last", default=0)

    @property
    def wanted(self) -> Version | None:
        """The version that should run: the desired one, or the last good one if that was rejected."""
        if self.desired is None or self.desired == self.rejected:
            return self.last_good
        return self.desired.version

    def next_incarnation(self) -> int:
        """Return the first incarnation number that was never assigned."""
        return max(self.incarnation, self.last_incarnation) + 1

    def without_successor(self) -> "SupervisorState":
        """Return the state without the successor."""
        return msgspec.structs.replace(self, successor=None, successor_incarnation=0)
