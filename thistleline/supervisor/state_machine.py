"""Supervisor state machine: starts, stops, replaces and restarts a server, or gives it up. No I/O, no clock.

An incarnation is one started process of the server; incarnations are numbered. The wanted version is the
desired version, or the last good one if this supervisor has rejected the desired one.
`handle` takes the events of `events.py` and returns the effects of `effects.py`. Effects that change which
servers run are issued one at a time, each only after the preceding `PersistState` is durable: if the
supervisor dies at any point, the state on disk and the running servers together determine the next step. A
server is never started while another one runs.

The exception is `overlapping`: the successor is started while the current server serves. The current server
serves until the successor reports that it serves (`ServerReady`). The server that served before is then the
predecessor, which ends by itself or is killed. If a successor dies, or does not start serving, the current
server keeps serving. At most two servers run: the one that serves, and either its successor or its
predecessor.
"""

from enum import Enum, auto
from typing import Any

import msgspec

from thistleline.reducer.effects import LogEvent
from thistleline.reducer.events import DeadlineReached
from thistleline.supervisor import effects, events
from thistleline.supervisor.crash_history import CrashHistory
from thistleline.supervisor.model import DesiredVersion, Phase, SupervisorState, Version
from thistleline.supervisor.takeover import Takeover
from thistleline.supervisor.timing import (
    GOOD_AFTER,
    IDLE_INTERVAL,
    KILL_DELAY,
    MILLISECOND,
    UNREACHABLE_AFTER,
)


class AfterPersist(Enum):
    """What else, besides an effect, can be done next once a state is durable."""

    CONVERGE = auto()
    RESTART = auto()


Continuation = AfterPersist | effects.Effect | None  # what to do next once a state is durable


class Supervisor:
    """Keeps one server of a machine at the desired version, as a pure state machine.

    Attributes:
        phase: Current phase.
        state: The latest state that was passed to `PersistState`.
        candidate: The version that is being verified, or that is started once the current server has stopped.
        alive: Whether the server of the current incarnation runs.
        crashes: Crash history of the current version, with the backoff between restarts.
        takeover: The successor or predecessor of the current server.
    """

    def __init__(self, stop_timeout: int, now: int, overlapping: bool = False) -> None:
        """Create a supervisor in the phase "recovering".

        Args:
            stop_timeout: Time that a server has to end after SIGTERM, ns.
            now: Boot time, ns.
            overlapping: Whether servers hand over to their successors.
        """
        self.stop_timeout = stop_timeout
        self.now = now
        self.overlapping = overlapping
        self.phase: Phase = "recovering"
        self.reason = ""
        self.state = SupervisorState()
        self.candidate: Version | None = None
        self.alive = False
        self.started_at = 0
        self.stopping_since = 0
        self.kill_sent = False
        self.takeover = Takeover()
        self.crashes = CrashHistory()
        self.consensus_reachable = True
        self.consensus_reached_at = now
        self._continuations: list[Continuation] = []  # one for each outstanding `PersistState`
        self._effects: list[effects.Effect] = []

    def copy(self) -> "Supervisor":
        """Return an independent copy, for state-space exploration."""
        duplicate = Supervisor.__new__(Supervisor)
        duplicate.__dict__.update(self.__dict__)
        duplicate.crashes = self.crashes.copy()
        duplicate.takeover = self.takeover.copy()
        duplicate._continuations = list(self._continuations)
        duplicate._effects = []
        return duplicate

    def state_key(self) -> tuple[Any, ...]:
        """Return a hashable key of all that decisions depend on, except the time and the replicated log."""
        return (
            self.phase,
            self.state,
            self.candidate,
            tuple(self._continuations),
            self.alive,
            self.started_at,
            self.stopping_since,
            self.kill_sent,
            tuple(self.crashes.recent),
            self.crashes.retry_at,
            self.takeover.state_key(),
        )

    def handle(self, now: int, event: events.Event) -> list[effects.Effect]:
        """Handle an event at boot time `now` (ns) and return the effects to carry out, in order."""
        self.now = max(self.now, now)
        phase_before = self.phase
        self._dispatch(event)
        if self.phase != phase_before:
            self._log("phase", phase=self.phase, why=self.reason)
            self._effects.append(effects.PublishStatus())
        pending = self._effects
        self._effects = []
        return pending

    def _dispatch(self, event: events.Event) -> None:
        match event:
            case DeadlineReached():
                self._on_timer()
            case events.ConsensusPolled(reachable):
                self._on_consensus_polled(reachable)
            case events.DesiredVersionReceived(desired):
                self._on_desired_version(desired)
            case events.VersionVerified(fault):
                self._on_verified(fault)
            case events.StatePersisted():
                self._on_persisted()
            case events.ServerSpawned(pid):
                self._on_spawned(pid)
            case events.SpawnFailed(reason):
                self._on_spawn_failed(reason)
            case events.ServerReady(incarnation):
                self._on_ready(incarnation)
            case events.ServerExited(code, incarnation):
                self._on_exited(code, incarnation)
            case events.StateRecovered():
                self._on_recovered(event)

    @property
    def serves(self) -> bool:
        """Whether a server accepts tasks, as far as the supervisor knows."""
        return self.alive and self.phase in ("running", "verifying", "succeeding")

    def next_deadline(self) -> int:
        """Return the boot time (ns) at which `DeadlineReached` is due."""
        deadline = self._phase_deadline()
        predecessor_deadline = self.takeover.predecessor_deadline(self.stop_timeout)
        return deadline if predecessor_deadline is None else min(deadline, predecessor_deadline)

    def _phase_deadline(self) -> int:
        if self.phase == "stopping":
            return self._kill_deadline()
        if self.phase == "succeeding":
            return self.takeover.successor_deadline()
        if self.phase == "running" and self.crashes.retry_at > self.now:
            return self.crashes.retry_at
        if self.phase == "backing off":
            return self.crashes.retry_at
        if self.phase == "running" and self.state.last_good != self.state.running:
            return self.started_at + GOOD_AFTER
        if self.phase == "failed" and not self.consensus_reachable:
            return self.consensus_reached_at + UNREACHABLE_AFTER
        return self.now + IDLE_INTERVAL

    def _kill_deadline(self) -> int:
        return self.stopping_since + self.stop_timeout + KILL_DELAY

    def _log(self, event: str, **fields: Any) -> None:
        self._effects.append(LogEvent(event, fields))

    # ---- persistent state

    def _persist(self, state: SupervisorState, then: Continuation = None) -> None:
        """Adopt the state, request that it is made durable, and continue with `then` once it is durable."""
        self.state = state
        self._continuations.append(then)
        self._effects.append(effects.PersistState(state))

    def _on_persisted(self) -> None:
        then = self._continuations.pop(0)
        if then is AfterPersist.CONVERGE:
            self._converge()
        elif then is AfterPersist.RESTART:
            self._restart()
        elif then is not None:
            self._effects.append(then)

    def _on_recovered(self, event: events.StateRecovered) -> None:
        self.state = event.state
        self.takeover.await_predecessor(event.predecessor, self.now)
        self.alive = event.server_alive
        self.started_at = self.now
        if event.successor_alive:
            self.phase = "succeeding"
            self.reason = "found running with its successor"
            self.takeover.begin(self.now, alive=True)
            return
        self.phase = "running" if event.server_alive else "idle"
        self.reason = "found running" if event.server_alive else ""
        if event.state.successor is not None:
            self._persist(event.state.without_successor(), AfterPersist.CONVERGE)
        else:
            self._converge()

    # ---- desired version

    def _on_consensus_polled(self, reachable: bool) -> None:
        if reachable:
            self.consensus_reached_at = self.now
        self.consensus_reachable = reachable

    def _on_desired_version(self, desired: DesiredVersion) -> None:
        """Adopt the desired version; idempotent. A version with an older fencing token is refused."""
        known = self.state.desired
        if known is not None and desired.is_older_than(known):
            self._log(
                "refused", epoch=desired.epoch, number=desired.number, known=[known.epoch, known.number]
            )
            return
        if desired == known or self.phase == "recovering":
            return
        changed = msgspec.structs.replace(self.state, desired=desired)
        if known is not None and known.version == desired.version:
            restart = desired.restart_token not in (known.restart_token, 0) and self.phase == "running"
            self._persist(changed, AfterPersist.RESTART if restart else None)
            return
        self.crashes.clear()
        self.crashes.retry_at = 0
        self._log(
            "wants",
            release=desired.version.release,
            settings=desired.version.settings,
            number=desired.number,
        )
        self._persist(changed, AfterPersist.CONVERGE)

    def _converge(self) -> None:
        """Take the next step towards running the wanted version."""
        wanted = self.state.wanted
        if wanted is None:
            return
        if self.phase == "succeeding":
            if self.takeover.successor_alive and wanted != self.state.successor:
                self._log("successor abandoned", life=self.state.successor_incarnation)
                self._effects.append(effects.TerminateServer(self.state.successor_incarnation))
        elif self.phase == "running":
            if self._can_replace() and wanted != self.state.running:
                self._verify(wanted, "the desired version differs")
        elif self.phase in ("idle", "failed", "backing off"):
            self._verify(wanted, "")

    def _can_replace(self) -> bool:
        """Whether a running server may be replaced now."""
        if not self.overlapping:
            return True
        return not (self.takeover.predecessor or self.crashes.retry_at > self.now or self.crashes.is_loop)

    def _verify(self, version: Version, reason: str) -> None:
        self.phase = "verifying"
        self.candidate = version
        self.reason = reason
        self._effects.append(effects.VerifyVersion(version))

    def _on_verified(self, fault: str) -> None:
        if self.phase != "verifying" or self.candidate is None:
            return
        if fault:
            self._on_verification_failed(self.candidate, fault)
        elif not self.alive:
            self._spawn(self.candidate)
        elif self.overlapping:
            self._spawn_successor(self.candidate)
        else:
            self._stop("the desired version differs")

    def _on_verification_failed(self, candidate: Version, fault: str) -> None:
        """Reject a version that is missing, unfit or has another digest; a running server keeps running."""
        self._log("unfit", release=candidate.release, why=fault)
        self.reason = fault
        self.phase = "running" if self.alive else "failed"
        if candidate == self.state.wanted and self.state.desired is not None:
            rejecting = msgspec.structs.replace(self.state, rejected=self.state.desired)
            self._persist(rejecting, AfterPersist.CONVERGE)

    # ---- starts and stops

    def _spawn(self, version: Version) -> None:
        incarnation = self.state.next_incarnation()
        self.phase = "spawning"
        state = msgspec.structs.replace(self.state, running=version, incarnation=incarnation)
        self._persist(state, effects.SpawnServer(incarnation, version))

    def _spawn_successor(self, version: Version) -> None:
        incarnation = self.state.next_incarnation()
        self.phase = "succeeding"
        self.takeover.begin(self.now)
        state = msgspec.structs.replace(
            self.state, successor=version, successor_incarnation=incarnation, last_incarnation=incarnation
        )
        self._persist(state, effects.SpawnServer(incarnation, version))

    def _restart(self) -> None:
        """Restart the running version, unless another phase has begun meanwhile."""
        if self.phase != "running":
            return
        if not self.overlapping:
            self.candidate = self.state.running
            self._stop("a restart was requested")
        elif not self.takeover.predecessor and self.state.running is not None:
            self._spawn_successor(self.state.running)

    def _on_spawned(self, pid: int) -> None:
        if self.phase == "succeeding":
            self.takeover.begin(self.now, alive=True)
            self._log(
                "started",
                pid=pid,
                life=self.state.successor_incarnation,
                release=self._successor_release(),
                beside=True,
            )
        else:
            self.alive = True
            self.started_at = self.now
            self.phase = "running"
            self.reason = ""
            self.kill_sent = False
            self._log("started", pid=pid, life=self.state.incarnation, release=self._running_release())
        self._converge()

    def _on_spawn_failed(self, reason: str) -> None:
        self._log("start failed", why=reason)
        if self.phase == "succeeding":
            self._on_successor_failed(f"the server could not be started: {reason}")
        else:
            self._on_crashed(f"the server could not be started: {reason}")

    def _on_ready(self, incarnation: int) -> None:
        """Make the successor the current incarnation, as it reported that it serves."""
        state = self.state
        if incarnation != state.successor_incarnation or not incarnation or self.phase != "succeeding":
            return
        self.takeover.complete(state.incarnation if self.alive else 0, self.now)
        self.alive = True
        self.started_at = self.now
        self.phase = "running"
        self.reason = ""
        self._log("serves", life=incarnation, release=self._successor_release())
        changed = msgspec.structs.replace(state, running=state.successor, incarnation=incarnation)
        self._persist(changed.without_successor(), AfterPersist.CONVERGE)

    def _running_release(self) -> str | None:
        return self.state.running.release if self.state.running is not None else None

    def _successor_release(self) -> str:
        return self.state.successor.release if self.state.successor is not None else ""

    def _stop(self, reason: str) -> None:
        self.phase = "stopping"
        self.stopping_since = self.now
        self.reason = reason
        self._effects.append(effects.TerminateServer(self.state.incarnation))

    # ---- exits and crashes

    def _on_exited(self, code: int, incarnation: int) -> None:
        if incarnation and incarnation == self.takeover.predecessor:
            self._on_predecessor_exited(code)
        elif incarnation and incarnation == self.state.successor_incarnation and self.phase == "succeeding":
            self._on_successor_failed(f"the server exited with {code} before it served")
        elif incarnation in (0, self.state.incarnation):
            self._on_current_exited(code)

    def _on_predecessor_exited(self, code: int) -> None:
        after_ms = (self.now - self.takeover.predecessor_since) // MILLISECOND
        self._log("elder gone", code=code, life=self.takeover.predecessor, after_ms=after_ms)
        self.takeover.predecessor_ended()
        if self.phase == "running":
            self._converge()

    def _on_current_exited(self, code: int) -> None:
        ran_ms = (self.now - self.started_at) // MILLISECOND
        self.alive = False
        self._log("exited", code=code, life=self.state.incarnation, ran_ms=ran_ms)
        if self.phase == "succeeding":
            return  # the successor starts serving without the current server, or is handled as failed
        if self.phase == "verifying":
            return  # the server died while the candidate was being verified; the candidate is started next
        if self.phase != "stopping":
            self._on_crashed(f"the server exited with {code} after {ran_ms} ms")
            return
        self.phase = "idle"
        if self.candidate is not None and self.candidate == self.state.wanted:
            self._spawn(self.candidate)
        else:
            self._converge()

    def _on_successor_failed(self, reason: str) -> None:
        """Keep the current server; if it has ended too, handle the failure as a crash."""
        self.takeover.fail()
        abandoned = self.state.wanted != self.state.successor
        if not self.alive:
            self._persist(self.state.without_successor())
            self._on_crashed(reason)
            return
        self.phase = "running"
        self.reason = reason
        if not abandoned:
            self.crashes.record(self.now)
            self.crashes.back_off(self.now)
            event = "crash loop" if self.crashes.is_loop else "heir lost"
            self._log(event, why=reason, crashes=len(self.crashes.recent))
        self._persist(self.state.without_successor(), AfterPersist.CONVERGE)

    def _on_crashed(self, reason: str) -> None:
        self.crashes.record(self.now)
        self.reason = reason
        if self.crashes.is_loop:
            self.phase = "failed"
            self._log("crash loop", release=self._running_release(), crashes=len(self.crashes.recent))
            self._fall_back()
        else:
            self.phase = "backing off"
            self.crashes.back_off(self.now)

    def _fall_back(self) -> None:
        """Return to the last good version if the new one crash-loops while consensus is unreachable."""
        unreachable_for = self.now - self.consensus_reached_at
        isolated = not self.consensus_reachable and unreachable_for >= UNREACHABLE_AFTER
        good = self.state.last_good
        if not isolated or good is None or good == self.state.wanted:
            return
        self._log("back alone", release=good.release, settings=good.settings)
        self.crashes.clear()
        rejecting = msgspec.structs.replace(self.state, rejected=self.state.desired)
        self._persist(rejecting, AfterPersist.CONVERGE)

    # ---- timers

    def _on_timer(self) -> None:
        self._kill_late_predecessor()
        if self.phase == "succeeding":
            self._kill_late_successor()
        elif self.phase == "stopping" and not self.kill_sent:
            self._kill_late_server()
        elif self.phase == "backing off" and self.now >= self.crashes.retry_at:
            self._converge()
        elif self.phase == "failed":
            self._fall_back()
        elif self.phase == "running":
            self._on_timer_running()

    def _on_timer_running(self) -> None:
        state = self.state
        if self.now - self.started_at >= GOOD_AFTER and state.last_good != state.running:
            settings = state.running.settings if state.running is not None else None
            self._log("good", release=self._running_release(), settings=settings)
            self._persist(msgspec.structs.replace(state, last_good=state.running))
        elif self.overlapping:
            self._converge()

    def _kill_late_predecessor(self) -> None:
        deadline = self.takeover.predecessor_deadline(self.stop_timeout)
        if deadline is not None and self.now >= deadline:
            self.takeover.predecessor_killed()
            self._log("killed", life=self.takeover.predecessor)
            self._effects.append(effects.KillServer(self.takeover.predecessor))

    def _kill_late_successor(self) -> None:
        if self.now >= self.takeover.successor_deadline():
            self.takeover.begin(self.now, alive=self.takeover.successor_alive)
            incarnation = self.state.successor_incarnation
            self._log("killed", life=incarnation, why="the successor did not start serving in time")
            self._effects.append(effects.KillServer(incarnation))

    def _kill_late_server(self) -> None:
        if self.now >= self._kill_deadline():
            self.kill_sent = True
            self._log("killed", life=self.state.incarnation)
            self._effects.append(effects.KillServer(self.state.incarnation))
