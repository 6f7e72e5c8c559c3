"""The records of client attempts and of the runs by which the agent executes them.

Inside the server an attempt is identified by a generated name, which is unique in the life of the process.
The id that the attempt's client chose is untrusted: it identifies the attempt only to that client and to the
agent.
"""

from thistleline.state.idempotency import IdempotencyKey


class Attempt:
    """A task that has not been answered."""

    __slots__ = (
        "arrived_at",
        "awaited_run",
        "body",
        "connection",
        "deadline",
        "id",
        "key",
        "policy_knows",
        "seq",
        "stage",
    )

    def __init__(
        self,
        connection: int,
        seq: int,
        id: str,
        stage: int,
        arrived_at: int,
        deadline: int,
        key: IdempotencyKey | None,
        body: bytes,
    ) -> None:
        """Create the record of an attempt that the policy has not seen.

        Args:
            connection: Number of the connection that the attempt arrived on and is answered on.
            seq: Sequence number of the attempt's message on that connection.
            id: The id that the client chose.
            stage: Index of the attempt's request class.
            arrived_at: Time of arrival, ns.
            deadline: Time at which the client stops waiting, ns.
            key: Idempotency key by which repeated attempts are recognized; None if they are not.
            body: Body that is sent to the agent.
        """
        self.connection = connection
        self.seq = seq
        self.id = id
        self.stage = stage
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.key = key
        self.body = body
        self.policy_knows = False
        self.awaited_run: str | None = None  # name of the run whose result answers this attempt


class Run:
    """A run at the agent; its attempt may have been answered already."""

    __slots__ = (
        "body",
        "call",
        "call_reply",
        "id",
        "key",
        "measurements_before",
        "repeats",
        "sent",
        "stage",
        "stopped",
    )

    def __init__(self, attempt: Attempt, measurements_before: int) -> None:
        """Create the record of a run that has not been sent yet.

        Args:
            attempt: The attempt that the run executes.
            measurements_before: Number of measurements requested of the agent before the start.
        """
        self.id = attempt.id
        self.stage = attempt.stage
        self.body = attempt.body
        self.key = attempt.key
        self.measurements_before = measurements_before
        self.sent = False
        self.stopped = False
        # The downstream call that the run waits for: number of the notice that requested it, and its body.
        self.call: tuple[int, bytes] | None = None
        # The reply to the run's last downstream call: time, number of the notice that requested the call, and
        # the call's result, which is None if the call was skipped.
        self.call_reply: tuple[int, int, bytes | None] | None = None
        self.repeats: dict[str, None] = {}  # names of the unanswered attempts that get this run's result
