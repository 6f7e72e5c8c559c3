"""The parts of failure detection: pending probes, the order of probe targets, and local health."""

from dataclasses import dataclass
from random import Random

from thistleline.membership.messages import DEAD, MemberRecord
from thistleline.membership.view import MembershipView

MAX_HEALTH_SCORE = 8


@dataclass(slots=True)
class Probe:
    """A ping that waits for its Ack: this member's own, or one that another member requested.

    Attributes:
        target: Id of the member that is pinged.
        deadline: When the next step of the probe is due, ns.
        period_end: When the probe fails without an Ack, ns.
        helpers: Number of members that were asked to ping the target too.
        nacks: Number of Nacks received from these helpers.
        requester: Address of the member that requested the ping, empty for this member's own probe.
        requester_number: Number of the requester's own probe.
    """

    target: str
    deadline: int
    period_end: int
    helpers: int = 0
    nacks: int = 0
    requester: str = ""
    requester_number: int = 0


class ProbeOrder:
    """Round robin over the members in a random order, as in SWIM.

    Each member is probed once in as many periods as there are members, so that a death is detected in bounded
    time.
    """

    def __init__(self, own_id: str, rng: Random) -> None:
        """Start without members; the order is drawn from `rng`."""
        self.own_id = own_id
        self.rng = rng
        self.ids: list[str] = []  # members still to be probed in the current round; the last id is the next

    def insert(self, id: str) -> None:
        """Add a member at a random position in the current round."""
        self.ids.insert(self.rng.randrange(len(self.ids) + 1), id)

    def next_target(self, view: MembershipView) -> MemberRecord | None:
        """Return the member to probe next, None if no other member is alive."""
        for _ in range(len(self.ids) + 1):
            if not self.ids:
                self.ids = [record.id for record in view.live_members() if record.id != self.own_id]
                self.rng.shuffle(self.ids)
                if not self.ids:
                    return None
            record = view.records.get(self.ids.pop())
            if record is not None and record.status < DEAD:
                return record
        return None


class LocalHealth:
    """Lifeguard's local health: a member that misses many answers assumes that it is itself slow.

    Attributes:
        score: 0 if healthy; timeouts are multiplied by one more than the score.
    """

    def __init__(self) -> None:
        """Start healthy."""
        self.score = 0

    @property
    def multiplier(self) -> int:
        """The factor by which timeouts and periods are multiplied."""
        return self.score + 1

    def worsen(self, by: int) -> None:
        """Record missed answers, or a suspicion of this member itself."""
        self.score = min(MAX_HEALTH_SCORE, self.score + by)

    def improve(self) -> None:
        """Record an answer that arrived in time."""
        self.score = max(0, self.score - 1)
