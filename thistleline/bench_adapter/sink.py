"""Encodes the decisions of a policy as lines of the bench protocol."""

from collections.abc import Callable


def format_seconds(duration: int) -> str:
    """Return nanoseconds as seconds with six decimals, truncated; negative durations become 0."""
    micros = max(0, duration) // 1000
    return f"{micros // 1_000_000}.{micros % 1_000_000:06d}"


class LineSink:
    """A `DecisionSink` that writes each decision as one line."""

    def __init__(self, instance: str, write: Callable[[str], None]) -> None:
        """Create the sink of an instance.

        Args:
            instance: The name of the instance.
            write: Receives each line, with its line break.
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
        """Reject the task."""
        retry_fields = f"{int(fleet_overloaded)}\t{format_seconds(retry_after)}"
        self._write(f"REFUSE\t{self._instance}\t{task_id}\t{retry_fields}\n")

    def abandon(self, task_id: str) -> None:
        """Answer the task with a failure that says nothing about whether it ran."""
        self._write(f"REPORT_FAILURE\t{self._instance}\t{task_id}\n")

    def replay_result(self, task_id: str) -> None:
        """Answer the task with the result of the run of its duplicate."""
        self._write(f"REPLAY\t{self._instance}\t{task_id}\n")

    def remember_key(self, task_id: str, duration: int) -> None:
        """Store the task's idempotency key for `duration` nanoseconds."""
        self._write(f"RETAIN\t{self._instance}\t{task_id}\t{format_seconds(duration)}\n")

    def forget_key(self, task_id: str) -> None:
        """Delete the task's idempotency key."""
        self._write(f"UNPIN\t{self._instance}\t{task_id}\n")

    def start_call(self, task_id: str, timeout: int) -> None:
        """Start the task's downstream call, with a timeout of `timeout` nanoseconds."""
        self._write(f"GO_CALL\t{self._instance}\t{task_id}\t{format_seconds(timeout)}\n")

    def skip_call(self, task_id: str) -> None:
        """Continue the task without its downstream call."""
        self._write(f"SKIP\t{self._instance}\t{task_id}\n")

    def set_health(self, healthy: bool, from_cache: bool) -> None:
        """Set what health checks report."""
        self._write(f"STATUS\t{self._instance}\t{int(healthy)}\t{int(from_cache)}\n")

    def publish_load_hint(self, value: float) -> None:
        """Attach this load hint to all further answers."""
        self._write(f"STAMP\t{self._instance}\t{value:.6f}\n")

    def set_idle_timeout(self, timeout: int) -> None:
        """Close connections that are idle for `timeout` nanoseconds."""
        self._write(f"IDLE_LIMIT\t{self._instance}\t{format_seconds(timeout)}\n")

    def set_timer(self, name: str, duration: int) -> None:
        """Send `TimerFired` with this name after `duration` nanoseconds."""
        self._write(f"SET_ALARM\t{self._instance}\t{name}\t{format_seconds(duration)}\n")
