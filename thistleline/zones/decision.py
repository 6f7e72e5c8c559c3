"""Where each zone's traffic goes: a table of shares, decided from the picture and the table before. No I/O,
no clock, no chance.

- Near while that is safe: a zone spills only what it can't finish in time, and the least of utility first.
- To the nearest with room, never more than the receiver's room less a reserve for the loss of a part of it.
- No chains: who spills receives nothing, who receives spills nothing.
- A receiver takes more by steps, as it warms up; what went away comes back slower than it left.
- A slowdown of all moves nothing, and with no room anywhere all stays at home: shedding is each server's own.
- What hardly changes does not change: a table is made anew only for a difference that matters.
"""

from typing import NamedTuple

import msgspec

from thistleline.zones.status import Picture, Zone

LEAVE = 0.95  # of its room: beyond that a zone spills
BACK = 0.80  # of its room, with what would come back: under that it takes back
RESERVE = 0.15  # of a receiver's room, kept free for the loss of a part of itself
STEP = 0.20  # of a receiver's room: so much more in one decision
BACK_STEP = 0.05  # of the origin's demand: so much less away in one decision
CALM = 3  # decisions in a row that have to want it, before anything comes back
COMMON = 0.80  # of its room before: if most zones have less than that at once, nothing moves
MATTERS = 0.02  # of a zone's demand: a smaller change of a share is none
LOST = 0.10  # of its room before: a zone with less is lost, whatever the others do


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Of what comes from `origin` in this stage the part that goes to `to`; the rest stays at home."""

    origin: str
    stage: int
    to: str
    part: float


class Table(msgspec.Struct, frozen=True):
    """Numbered; the newest one that is known holds. `rooms` are those that it was decided by."""

    number: int = 0
    shares: tuple[Share, ...] = ()
    rooms: tuple[tuple[str, float], ...] = ()
    why: str = ""

    def away(self, origin: str, stage: int) -> dict[str, float]:
        return {one.to: one.part for one in self.shares if one.origin == origin and one.stage == stage}

    def receivers(self) -> set[str]:
        return {one.to for one in self.shares}

    def givers(self) -> set[str]:
        return {one.origin for one in self.shares}


class Rules(NamedTuple):
    """Of an installation: the price of a way between two zones, what each stage's work is worth, what may not
    go where, and which zones an operator empties."""

    price: dict[tuple[str, str], float]  # both ways told; a way that is not told does not exist
    worth: dict[int, float]  # utility of a core-second, by stage
    bound: frozenset[tuple[int, str, str]] = frozenset()  # stage, origin, receiver: not allowed
    drained: frozenset[str] = frozenset()


class Deciding:
    """`decide` at each look at the fleet; a successor begins with the table that is recorded."""

    def __init__(self, rules: Rules, table: Table) -> None:
        self.rules, self.table = rules, table
        self.calm: dict[str, int] = {}  # decisions in a row in which a zone could take back
        self.usual: dict[str, float] = dict(table.rooms)  # room of each zone, as it was of late

    def decide(self, picture: Picture) -> Table:
        """The table that is to hold: the same one, or the next."""
        zones = picture.zones
        held = self._common(zones)
        self._remember(zones, held)
        if held:
            return self.table
        demand = {
            name: sum(work for (origin, _), work in picture.demand.items() if origin == name)
            for name in zones
        }
        away = self._before(picture)
        self._leave(picture, demand, away)
        self._come_back(picture, demand, away)
        self._fit(picture, demand, away)
        return self._numbered(picture, away)

    # ---- what is no reason to move

    def _common(self, zones: dict[str, Zone]) -> bool:
        """Whether most zones lost room together: a dependency that they share, no zone's trouble. One that is
        gone is gone all the same."""
        known = [(zone, self.usual.get(name, 0.0)) for name, zone in zones.items()]
        known = [(zone, usual) for zone, usual in known if usual > 0]
        slower = [zone for zone, usual in known if zone.room < COMMON * usual]
        lost = [zone for zone, usual in known if zone.room < LOST * usual]
        return len(known) > 1 and 2 * len(slower) > len(known) and not lost

    def _remember(self, zones: dict[str, Zone], held: bool) -> None:
        """Slowly, and not during a common slowdown, lest it come to be usual."""
        for name, zone in zones.items():
            before = self.usual.get(name)
            if before is None:
                self.usual[name] = zone.room
            elif not held and zone.room >= COMMON * before:
                self.usual[name] = 0.9 * before + 0.1 * zone.room

    # ---- the flows, in cores, by origin, stage and receiver

    def _before(self, picture: Picture) -> dict[tuple[str, int, str], float]:
        """What the table that holds sends away of what comes now."""
        return {
            (one.origin, one.stage, one.to): one.part * picture.demand.get((one.origin, one.stage), 0.0)
            for one in self.table.shares
        }

    def _leave(
        self, picture: Picture, demand: dict[str, float], away: dict[tuple[str, int, str], float]
    ) -> None:
        """More goes away where what stays is over the room: the least worth first, to the nearest."""
        zones = picture.zones
        for name in sorted(zones, key=lambda name: zones[name].room - demand[name]):
            here = sum(work for (_, _, to), work in away.items() if to == name)
            gone = sum(work for (origin, _, _), work in away.items() if origin == name)
            room = 0.0 if name in self.rules.drained else LEAVE * zones[name].room
            excess = demand[name] - gone - room
            if excess <= MATTERS * demand[name]:
                continue
            if here:
                # A receiver that sickens: what was sent to it goes home, and nothing of its own goes on yet.
                for key in [key for key in away if key[2] == name]:
                    del away[key]
                continue
            for stage in sorted(self.rules.worth, key=lambda stage: self.rules.worth[stage]):
                left = picture.demand.get((name, stage), 0.0)
                left -= sum(work for (origin, at, _), work in away.items() if (origin, at) == (name, stage))
                for to in self._nearest(name, stage, zones):
                    moved = min(excess, left, self._free(to, picture, demand, away))
                    if moved > 0:
                        away[name, stage, to] = away.get((name, stage, to), 0.0) + moved
                        excess, left = excess - moved, left - moved
            self.calm[name] = 0

    def _nearest(self, origin: str, stage: int, zones: dict[str, Zone]) -> list[str]:
        price = self.rules.price
        known = [
            to
            for to in zones
            if to != origin
            and (origin, to) in price
            and (stage, origin, to) not in self.rules.bound
            and to not in self.rules.drained
        ]
        return sorted(known, key=lambda to: (price[origin, to], to))

    def _free(
        self,
        to: str,
        picture: Picture,
        demand: dict[str, float],
        away: dict[tuple[str, int, str], float],
    ) -> float:
        """What a zone may take more, now."""
        zone = picture.zones[to]
        if any(origin == to for origin, _, _ in away) or zone.grey or zone.doubt > 0.5:
            return 0.0
        taken = sum(work for (_, _, other), work in away.items() if other == to)
        before = sum(
            one.part * picture.demand.get((one.origin, one.stage), 0.0)
            for one in self.table.shares
            if one.to == to
        )
        room = (1 - RESERVE) * zone.room - demand[to] - taken
        return max(0.0, min(room, before + STEP * zone.room - taken))

    def _come_back(
        self, picture: Picture, demand: dict[str, float], away: dict[tuple[str, int, str], float]
    ) -> None:
        """Some of what is away comes back, the worthiest first, once the zone could take it for a while."""
        for name in sorted({origin for origin, _, _ in away}):
            gone = sum(work for (origin, _, _), work in away.items() if origin == name)
            room = 0.0 if name in self.rules.drained else BACK * picture.zones[name].room
            step = min(gone, BACK_STEP * demand[name])
            if demand[name] - gone + step > room:
                self.calm[name] = 0
                continue
            self.calm[name] = self.calm.get(name, 0) + 1
            if self.calm[name] <= CALM:
                continue
            worth = self.rules.worth
            for key in sorted(
                (key for key in away if key[0] == name), key=lambda key: -worth.get(key[1], 0.0)
            ):
                back = min(step, away[key])
                away[key] -= back
                step -= back

    def _fit(
        self, picture: Picture, demand: dict[str, float], away: dict[tuple[str, int, str], float]
    ) -> None:
        """No receiver over its room: where it has become less, what is least worth goes home first."""
        for to in sorted({to for _, _, to in away}):
            over = sum(work for (_, _, other), work in away.items() if other == to)
            over -= max(0.0, (1 - RESERVE) * picture.zones[to].room - demand[to])
            worth = self.rules.worth
            for key in sorted((key for key in away if key[2] == to), key=lambda key: worth.get(key[1], 0.0)):
                if over <= 0:
                    break
                less = min(over, away[key])
                away[key] -= less
                over -= less

    # ---- the table

    def _numbered(self, picture: Picture, away: dict[tuple[str, int, str], float]) -> Table:
        shares = []
        for (origin, stage, to), work in sorted(away.items()):
            whole = picture.demand.get((origin, stage), 0.0)
            part = min(1.0, work / whole) if whole > 0 else 0.0
            if part >= MATTERS:
                shares.append(Share(origin, stage, to, round(part, 3)))
        if not self._differs(shares, picture):
            return self.table
        givers = sorted({one.origin for one in shares})
        why = f"{', '.join(givers)} can't finish all" if givers else "all at home"
        rooms = tuple(sorted((name, round(room, 3)) for name, room in self.usual.items()))
        self.table = Table(self.table.number + 1, tuple(shares), rooms, why)
        return self.table

    def _differs(self, shares: list[Share], picture: Picture) -> bool:
        before = {(one.origin, one.stage, one.to): one.part for one in self.table.shares}
        after = {(one.origin, one.stage, one.to): one.part for one in shares}
        if set(before) != set(after):
            return True
        for key, part in after.items():
            less = 0.0 < part < before[key] - MATTERS or part > before[key] + MATTERS
            over = part < before[key] and picture.zones[key[2]].room <= 0
            if less or over:
                return True
        return False
