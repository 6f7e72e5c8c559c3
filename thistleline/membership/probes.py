"""The parts of failure detection: probes that wait for an answer, whom to probe next, and local health."""

from dataclasses import dataclass
from random import Random

from thistleline.membership.messages import DEAD, MemberRecord
from thistleline.membership.view import MembershipView

MAX_HEALTH_SCORE = 8


@dataclass(slots=True)
class Probe:
    """A ping that waits for its Ack: of this member's own, or for another that requested it.

    Attributes:
        target: Id of the member that is pinged.
        deadline: When the next step is due, ns.
        period_end: When the probe has failed, ns.
        helpers: How many others were asked to ping the target too.
        nacks: How many of them answered that they are alive.
        requester: Address of the member that requested it, empty for a probe of its own.
        requester_number: The requester's number.
    """

    target: str
    deadline: int
    period_end: int
    helpers: int = 0
    nacks: int = 0
    requester: str = ""
    requester_number: int = 0


class ProbeOrder:
    """Round robin in a random order, as SWIM has it.

    Each member is probed once in as many periods as there are members, so that a death is noticed in bounded
    time.
    """

    def __init__(self, own_id: str, rng: Random) -> None:
        """Start without members; the order is drawn from `rng`."""
        self.own_id = own_id
        self.rng = rng
        self.ids: list[str] = []  # the next one is the last

    def insert(self, id: str) -> None:
        """Add a member at a random place of the current round."""
        self.ids.insert(self.rng.randrange(len(self.ids) + 1), id)

    def next_target(self, view: MembershipView) -> MemberRecord | None:
        """Return the member to probe next, None if there is no other."""
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
    """Lifeguard's local health: a member that misses many answers takes itself for the slow one.

    Attributes:
        score: 0 if well; timeouts are prolonged by as many times their length.
    """

    def __init__(self) -> None:
        """Start well."""
        self.score = 0

    @property
    def multiplier(self) -> int:
        """The factor of timeouts and periods."""
        return self.score + 1

    def worsen(self, by: int) -> None:
        """Note missed answers, or a suspicion of this member itself."""
        self.score = min(MAX_HEALTH_SCORE, self.score + by)

    def improve(self) -> None:
        """Note an answer that came in time."""
        self.score = max(0, self.score - 1)
