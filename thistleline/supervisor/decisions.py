"""What a steward decides: which server runs, when it is stopped, started again, given up. No I/O, no clock.

Inputs are a kind and its values:

    recovered State lives heir_lives elder | want Want | reached yes | verified why
    spawned pid | unspawned why | exited code life | served life | noted | elapsed | leave

Effects:

    (note State)          made durable before anything else is done; `noted` answers it
    (verify Version)      `verified` with an empty reason, or why it is not to be started
    (spawn life Version)  (term) (kill) (term_heir life) (kill_life life) (tell state) (log event facts) (end)

One effect at a time that changes what runs, and each after a note: whenever the steward dies, what it noted
and whether a server lives say together what is to be done. A server is never started while one lives.

But for `beside`: there a server is followed by the next one while it serves. Until the heir says that it
serves (`served`) the other one does; then that one is the elder, which goes by itself, or is killed. An heir
that dies, or does not come to serve, costs nothing but its try. At most two live, and those two are the one
that serves and either its heir or its elder.
"""

from typing import Any, Literal

import msgspec

MS, SECOND = 1_000_000, 1_000_000_000
BACKOFF_FIRST, BACKOFF_LAST = 200 * MS, 5 * SECOND
LOOP_COUNT, LOOP_SPAN = 5, 60 * SECOND  # so many crashes in so long are a crash loop
GOOD_SPAN = 15 * SECOND  # a server that ran so long without a crash is good
KILL_AFTER = 500 * MS  # beside its time to stop
SUCCEED_SPAN = 30 * SECOND  # for an heir to come to serve
UNREACHED_SPAN = 10 * SECOND  # without the council, before a new one that does not come up is taken back

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
    """What a server runs: a release and its settings, each with the digest of its content."""

    release: str = ""
    digest: str = ""
    settings: int = 0
    settings_digest: str = ""
    reads: tuple[int, ...] = ()  # forms of the ledger that the release reads, and the one that it writes,
    writes: int = 0  # where it says so


class Want(msgspec.Struct, frozen=True):
    """Of a conductor: `epoch` of its lease, `number` of the change. An older one is refused."""

    epoch: int
    number: int
    version: Version
    turn: int = 0  # the same version is started anew where this is another one


class State(msgspec.Struct, frozen=True):
    """What is kept on disk."""

    want: Want | None = None
    running: Version | None = None  # what the last life is, or was
    life: int = 0
    good: Version | None = None
    refused: Want | None = None  # went back from it alone; only another want is followed
    heir: Version | None = None  # what is to follow the one that runs, and its life
    heir_life: int = 0
    last: int = 0  # number of the last life that was given out, if greater than `life`


class Keeping:
    def __init__(self, stop_span: int, now: int, beside: bool = False) -> None:
        """`stop_span`: ns that a server has from SIGTERM to its end. `beside`: servers hand over."""
        self.stop_span, self.now, self.beside = stop_span, now, beside
        self.heir_alive = False
        self.heir_since = 0
        self.elder = self.elder_since = 0  # life that handed over and is not gone, since when
        self.elder_killed = False
        self.phase: Phase = "recovering"
        self.state = State()
        self.effects: list[tuple[Any, ...]] = []
        self.next: Version | None = None  # what is to be spawned
        self.notes: list[tuple[tuple[Any, ...], ...]] = []  # being made durable, in order: what is done then
        self.alive = False
        self.started = self.stopping = 0  # when
        self.killed = False
        self.crashes: list[int] = []  # when, of this version
        self.crashed_in_all = 0
        self.retry_at = 0
        self.reached_at = now
        self.reached = True
        self.leaving = False
        self.why = ""

    def take(self, now: int, kind: str, *told: Any) -> list[tuple[Any, ...]]:
        self.now = max(self.now, now)
        before = self.phase
        getattr(self, f"_{kind}")(*told)
        if self.phase != before:
            self._log("phase", phase=self.phase, why=self.why)
            self.effects.append(("tell", self.phase))
        effects, self.effects = self.effects, []
        return effects

    @property
    def serves(self) -> bool:
        """Whether there is a server that takes tasks, by all that is known here."""
        return self.alive and self.phase in ("running", "verifying", "succeeding")

    def due(self) -> int:
        if self.elder and not self.elder_killed:
            return min(self._due(), self.elder_since + self.stop_span + KILL_AFTER)
        return self._due()

    def _due(self) -> int:
        if self.phase == "stopping":
            return self.stopping + self.stop_span + KILL_AFTER
        if self.phase == "succeeding":
            return self.heir_since + SUCCEED_SPAN
        if self.phase == "running" and self.retry_at > self.now:
            return self.retry_at
        if self.phase == "backing off":
            return self.retry_at
        if self.phase == "running" and self.state.good != self.state.running:
            return self.started + GOOD_SPAN
        if self.phase == "failed" and not self.reached:
            return self.reached_at + UNREACHED_SPAN
        return self.now + SECOND

    def _log(self, event: str, **facts: Any) -> None:
        self.effects.append(("log", event, facts))

    def _note(self, state: State, *then: tuple[Any, ...]) -> None:
        self.state = state
        self.notes.append(then)
        self.effects.append(("note", state))

    # ---- what is wanted

    def _wanted(self) -> Version | None:
        state = self.state
        if state.want is None or state.want == state.refused:
            return state.good
        return state.want.version

    def _recovered(self, state: State, lives: bool, heir_lives: bool = False, elder: int = 0) -> None:
        """`lives`: a server of the last life runs still; its heir too; and `elder`, one that is neither."""
        self.state = state
        self.elder, self.elder_since = elder, self.now
        self.alive, self.heir_alive, self.started = lives, heir_lives, self.now
        if heir_lives:
            self.phase, self.why, self.heir_since = "succeeding", "found alive with its heir", self.now
            return
        self.phase, self.why = ("running", "found alive") if lives else ("idle", "")
        if state.heir is not None:
            self._note(msgspec.structs.replace(state, heir=None, heir_life=0), ("go on",))
        else:
            self._go_on()

    def _want(self, want: Want) -> None:
        """Idempotent; what an older conductor wants is refused."""
        known = self.state.want
        if known is not None and (want.epoch, want.number) < (known.epoch, known.number):
            self._log("refused", epoch=want.epoch, number=want.number, known=[known.epoch, known.number])
            return
        if want == known or self.phase == "recovering":
            return
        if known is not None and known.version == want.version:
            again = want.turn != known.turn and want.turn != 0 and self.phase == "running"
            self._note(msgspec.structs.replace(self.state, want=want), *([("again",)] if again else []))
            return
        self.crashes.clear()
        self.retry_at = 0
        self._log("wants", release=want.version.release, settings=want.version.settings, number=want.number)
        self._note(msgspec.structs.replace(self.state, want=want), ("go on",))

    def _reached(self, yes: bool) -> None:
        """Whether the council was."""
        if yes:
            self.reached_at = self.now
        self.reached = yes

    def _go_on(self) -> None:
        """Does the next thing towards what is wanted."""
        wanted = self._wanted()
        if self.leaving:
            return
        if self.phase == "succeeding":
            if self.heir_alive and wanted is not None and wanted != self.state.heir:
                self._log("heir given up", life=self.state.heir_life)
                self.effects.append(("term_heir", self.state.heir_life))
        elif self.phase == "running":
            if self.beside and (self.elder or self.retry_at > self.now or len(self.crashes) >= LOOP_COUNT):
                return
            if wanted is not None and wanted != self.state.running:
                self.phase, self.next, self.why = "verifying", wanted, "another version is wanted"
                self.effects.append(("verify", wanted))
        elif self.phase in ("idle", "failed", "backing off") and wanted is not None:
            self.phase, self.next, self.why = "verifying", wanted, ""
            self.effects.append(("verify", wanted))

    def _verified(self, why: str) -> None:
        if self.phase != "verifying" or self.next is None:
            return
        alive = self.alive
        if why:
            self._log("unfit", release=self.next.release, why=why)
            self.why = why
            self.phase = "running" if alive else "failed"
            if self.next == self._wanted() and self.state.want is not None:
                # What is not here, or is not what is meant, is not tried again; what runs goes on.
                self._note(msgspec.structs.replace(self.state, refused=self.state.want), ("go on",))
        elif alive and self.beside:
            self._spawn_heir(self.next)
        elif alive:
            self._stop("another version is wanted")
        else:
            self._spawn(self.next)

    def _noted(self) -> None:
        for effect in self.notes.pop(0):
            if effect[0] == "go on":
                self._go_on()
            elif effect[0] == "again":
                if self.phase == "running" and self.beside:
                    if not self.elder and self.state.running is not None:
                        self._spawn_heir(self.state.running)
                elif self.phase == "running":
                    self.next = self.state.running
                    self._stop("it is started anew")
            else:
                self.effects.append(effect)

    # ---- starts and stops

    def _next_life(self) -> int:
        return max(self.state.life, self.state.last) + 1

    def _spawn(self, version: Version) -> None:
        life = self._next_life()
        self.phase = "spawning"
        self._note(msgspec.structs.replace(self.state, running=version, life=life), ("spawn", life, version))

    def _spawn_heir(self, version: Version) -> None:
        life = self._next_life()
        self.phase, self.heir_since, self.heir_alive = "succeeding", self.now, False
        state = msgspec.structs.replace(self.state, heir=version, heir_life=life, last=life)
        self._note(state, ("spawn", life, version))

    def _spawned(self, pid: int) -> None:
        if self.phase == "succeeding":
            self.heir_alive, self.heir_since = True, self.now
            heir = self.state.heir.release if self.state.heir is not None else ""
            self._log("started", pid=pid, life=self.state.heir_life, release=heir, beside=True)
            self._go_on()
            return
        self.alive, self.started, self.phase, self.why = True, self.now, "running", ""
        self.killed = False
        self._log("started", pid=pid, life=self.state.life, release=self._of("release"))
        self._go_on()

    def _served(self, life: int) -> None:
        """This life serves now, as it says itself."""
        state = self.state
        if life != state.heir_life or not life or self.phase != "succeeding":
            return
        self.elder, self.elder_since, self.elder_killed = state.life if self.alive else 0, self.now, False
        self.alive, self.started, self.heir_alive = True, self.now, False
        self.phase, self.why = "running", ""
        self._log("serves", life=life, release=state.heir.release if state.heir is not None else "")
        changed = msgspec.structs.replace(state, running=state.heir, life=life, heir=None, heir_life=0)
        self._note(changed, ("go on",))

    def _unspawned(self, why: str) -> None:
        self._log("unstarted", why=why)
        if self.phase == "succeeding":
            self._heir_crashed(f"it could not be started: {why}")
            return
        self._crashed(f"it could not be started: {why}")

    def _of(self, name: str) -> Any:
        return getattr(self.state.running, name, None)

    def _stop(self, why: str) -> None:
        self.phase, self.stopping, self.why = "stopping", self.now, why
        self.effects.append(("term",))

    def _exited(self, code: int, life: int = 0) -> None:
        """`life`: which; none: the one that serves."""
        if life and life == self.elder:
            self._log("elder gone", code=code, life=life, after_ms=(self.now - self.elder_since) // MS)
            self.elder = 0
            if self.phase == "running":
                self._go_on()
            return
        if life and life == self.state.heir_life and self.phase == "succeeding":
            self._heir_crashed(f"it ended by itself with {code} before it served")
            return
        if life and life != self.state.life:
            return
        ran = self.now - self.started
        self.alive = False
        if self.phase == "succeeding" and not self.leaving:
            self._log("exited", code=code, life=self.state.life, ran_ms=ran // MS)
            return  # its heir comes to serve without it, or is taken for one that does not
        self._log("exited", code=code, life=self.state.life, ran_ms=ran // MS)
        if self.leaving:
            self.effects.append(("end",))
        elif self.phase == "stopping":
            self.phase = "idle"
            if self.next is not None and self.next == self._wanted():
                self._spawn(self.next)
            else:
                self._go_on()
        elif self.phase == "verifying":
            pass  # it died while another was looked at, which is started once that is done
        else:
            self._crashed(f"it ended by itself with {code} after {ran // MS} ms")

    def _heir_crashed(self, why: str) -> None:
        """What serves goes on; where that is gone too it is as any crash."""
        state, self.heir_alive = self.state, False
        given_up = self._wanted() != state.heir
        if not self.alive:
            self._note(msgspec.structs.replace(state, heir=None, heir_life=0))
            self._crashed(why)
            return
        self.phase, self.why = "running", why
        if not given_up:
            self._count_crash()
            self.retry_at = self.now + min(BACKOFF_LAST, BACKOFF_FIRST << (len(self.crashes) - 1))
            looped = len(self.crashes) >= LOOP_COUNT
            self._log("crash loop" if looped else "heir lost", why=why, crashes=len(self.crashes))
        self._note(msgspec.structs.replace(state, heir=None, heir_life=0), ("go on",))

    def _count_crash(self) -> None:
        self.crashed_in_all += 1
        self.crashes = [at for at in self.crashes if self.now - at < LOOP_SPAN] + [self.now]

    def _crashed(self, why: str) -> None:
        self._count_crash()
        self.why = why
        if len(self.crashes) >= LOOP_COUNT:
            self.phase = "failed"
            self._log("crash loop", release=self._of("release"), crashes=len(self.crashes))
            self._back_alone()
        else:
            self.phase = "backing off"
            self.retry_at = self.now + min(BACKOFF_LAST, BACKOFF_FIRST << (len(self.crashes) - 1))

    def _back_alone(self) -> None:
        """To the last good one, where nobody can be asked and the new one does not come up."""
        good, want = self.state.good, self.state.want
        alone = not self.reached and self.now - self.reached_at >= UNREACHED_SPAN
        if alone and good is not None and good != self._wanted():
            self._log("back alone", release=good.release, settings=good.settings)
            self.crashes.clear()
            self._note(msgspec.structs.replace(self.state, refused=want), ("go on",))

    def _elapsed(self) -> None:
        if (
            self.elder
            and not self.elder_killed
            and (self.now >= self.elder_since + self.stop_span + KILL_AFTER)
        ):
            self.elder_killed = True
            self._log("killed", life=self.elder)
            self.effects.append(("kill_life", self.elder))
        if self.phase == "succeeding":
            if self.now >= self.heir_since + SUCCEED_SPAN:
                self.heir_since = self.now
                self._log("killed", life=self.state.heir_life, why="it does not come to serve")
                self.effects.append(("kill_life", self.state.heir_life))
            return
        if self.phase == "stopping" and not self.killed:
            if self.now >= self.stopping + self.stop_span + KILL_AFTER:
                self.killed = True
                self._log("killed", life=self.state.life)
                self.effects.append(("kill",))
        elif self.phase == "backing off" and self.now >= self.retry_at:
            self._go_on()
        elif self.phase == "failed":
            self._back_alone()
        elif (
            self.phase == "running"
            and self.now - self.started >= GOOD_SPAN
            and self.state.good != self.state.running
        ):
            self._log("good", release=self._of("release"), settings=self._of("settings"))
            self._note(msgspec.structs.replace(self.state, good=self.state.running))
        elif self.phase == "running" and self.beside:
            self._go_on()

    def _leave(self) -> None:
        """The steward ends; its server runs on, and is found again."""
        self.leaving = True
        self.effects.append(("end",))
