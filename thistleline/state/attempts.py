"""The records of client attempts and of the runs that the agent makes of them.

An attempt is named inside by a number that is made here and used once in the life of the process. The id that
its client gave it is a peer's word: it names the attempt to that peer and to the agent alone.
"""

from thistleline.state.idempotency import IdempotencyKey


class Attempt:
    """A task that is owed an answer."""

    __slots__ = ("arrived_at", "body", "connection", "deadline", "id", "key", "policy_knows", "seq", "stage")

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
        """Make the record of an attempt that the policy has not seen.

        Args:
            connection: The connection that it came on, where its answer goes.
            seq: Its message's sequence number on that connection.
            id: What its client calls it.
            stage: Index of its request class.
            arrived_at: When it came, ns.
            deadline: When its client stops waiting, ns.
            key: By what its repeats are known, if they are.
            body: What the agent gets.
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


class Run:
    """A run at the agent, whether or not its attempt is still owed an answer."""

    __slots__ = (
        "body",
        "call",
        "call_reply",
        "id",
        "key",
        "measures_before",
        "repeats",
        "sent",
        "stage",
        "stopped",
    )

    def __init__(self, attempt: Attempt, measures_before: int) -> None:
        """Make the record of a run that was not sent yet.

        Args:
            attempt: What it runs for.
            measures_before: How many measurements were asked of the agent before its start.
        """
        self.id = attempt.id
        self.stage = attempt.stage
        self.body = attempt.body
        self.key = attempt.key
        self.measures_before = measures_before
        self.sent = False
        self.stopped = False
        self.call: tuple[int, bytes] | None = None  # that it waits for: number of its notice, body
        # When it went on from its call, the number of the call's notice, and the result; None: without one.
        self.call_reply: tuple[int, int, bytes | None] | None = None
        self.repeats: list[str] = []  # names of the attempts that get its answer
