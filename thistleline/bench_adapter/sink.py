"""Decisions of a policy as lines of the bench's wire."""

from collections.abc import Callable


def format_seconds(duration: int) -> str:
    """Return nanoseconds as decimal seconds with six digits, cut off; 0 for less."""
    micros = max(0, duration) // 1000
    return f"{micros // 1_000_000}.{micros % 1_000_000:06d}"


class LineSink:
    """A `DecisionSink` that writes each decision as a line at once."""

    def __init__(self, instance: str, write: Callable[[str], None]) -> None:
        """Create the sink of an instance.

        Args:
            instance: The instance's name on the wire.
            write: Takes each line, with its end.
        """
        self._instance = instance
        self._write = write

    def start(self, task_id: str) -> None:
        """Start running the task."""
        self._write(f"ADMIT\t{self._instance}\t{task_id}\n")

    def stop(self, task_id: str) -> None:
        """Stop the task's run."""
        self._write(f"PREEMPT\t{self._instance}\t{task_id}\n")

    def reject(self, task_id: str, fleet_overloaded: bool, retry_after: int) -> None:
        """Shed the task."""
        advice = f"{int(fleet_overloaded)}\t{format_seconds(retry_after)}"
        self._write(f"REFUSE\t{self._instance}\t{task_id}\t{advice}\n")

    def abandon(self, task_id: str) -> None:
        """Answer the task with a failure that says nothing about whether it ran."""
        self._write(f"REPORT_FAILURE\t{self._instance}\t{task_id}\n")

    def replay_result(self, task_id: str) -> None:
        """Answer the task from the run of the one that it repeats."""
        self._write(f"REPLAY\t{self._instance}\t{task_id}\n")

    def remember_key(self, task_id: str, duration: int) -> None:
        """Remember the task's idempotency key for so many nanoseconds."""
        self._write(f"RETAIN\t{self._instance}\t{task_id}\t{format_seconds(duration)}\n")

    def forget_key(self, task_id: str) -> None:
        """Forget the task's idempotency key."""
        self._write(f"UNPIN\t{self._instance}\t{task_id}\n")

    def start_call(self, task_id: str, timeout: int) -> None:
        """Make the task's downstream call, with a timeout in nanoseconds."""
        self._write(f"GO_CALL\t{self._instance}\t{task_id}\t{format_seconds(timeout)}\n")

    def skip_call(self, task_id: str) -> None:
        """Let the task go on without its downstream call."""
        self._write(f"SKIP\t{self._instance}\t{task_id}\n")

    def set_health(self, healthy: bool, from_cache: bool) -> None:
        """Set what health checks report."""
        self._write(f"STATUS\t{self._instance}\t{int(healthy)}\t{int(from_cache)}\n")

    def publish_load_hint(self, value: float) -> None:
        """Attach this load hint to answers from now on."""
        self._write(f"STAMP\t{self._instance}\t{value:.6f}\n")

    def set_idle_timeout(self, timeout: int) -> None:
        """Close connections that are idle for so many nanoseconds."""
        self._write(f"IDLE_LIMIT\t{self._instance}\t{format_seconds(timeout)}\n")

    def set_timer(self, name: str, duration: int) -> None:
        """Send the named timer's event after so many nanoseconds."""
        self._write(f"SET_ALARM\t{self._instance}\t{name}\t{format_seconds(duration)}\n")
