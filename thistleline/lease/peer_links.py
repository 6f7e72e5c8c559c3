"""Outgoing links of a replica to its peers."""

from collections.abc import Callable
from functools import partial
from random import Random

import anyio
from anyio.abc import ByteStream, TaskGroup

from thistleline.config.schema import ConsensusConfig
from thistleline.consensus.messages import AppendRequest, Message
from thistleline.lease.wire import encode
from thistleline.transport.address import parse_address
from thistleline.transport.codec import Hello, ProtocolError, encode_frame, negotiate_version
from thistleline.transport.connection import MessageConnection
from thistleline.transport.handshake import receive_hello


class PeerLinks:
    """Keeps one outgoing link to each wanted peer; a link that ends is reconnected."""

    def __init__(
        self,
        config: ConsensusConfig,
        rng: Random,
        log: Callable[..., None],
        own_hello: Callable[[], Hello],
    ) -> None:
        """Start without links.

        Args:
            config: Settings of the replica; `via` may give another address by which to reach a peer.
            rng: Source of randomness for the pauses before reconnecting.
            log: Writes a line to the program's log.
            own_hello: Returns the Hello that is sent first on a link.
        """
        self._config = config
        self._rng = rng
        self._log = log
        self._own_hello = own_hello
        self._links: dict[str, MessageConnection] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._logged_states: dict[str, str] = {}  # last logged state of each link, by id

    def send(self, to: str, message: Message) -> None:
        """Queue a message for a peer; without a link it is dropped."""
        link = self._links.get(to)
        if link is not None:
            is_heartbeat = isinstance(message, AppendRequest) and not message.entries
            link.send(encode(message), is_heartbeat)

    def update(self, group: TaskGroup, wanted: dict[str, str]) -> None:
        """Keep links to exactly the peers in `wanted`: addresses by id."""
        if wanted.keys() == self._links.keys():
            return
        for id in self._links.keys() - wanted.keys():
            self._scopes.pop(id).cancel()
            del self._links[id]
        for id in wanted.keys() - self._links.keys():
            self._open(group, id, wanted[id])

    def _open(self, group: TaskGroup, id: str, address_text: str) -> None:
        name = id.partition(".")[0]
        try:
            address = self._config.via.get(name) or parse_address(address_text)
        except ValueError as error:
            self._log("link", to=id, why=str(error))
            return
        link = MessageConnection(
            address, partial(self._exchange_hellos, id), self._rng, partial(self.log_state, id)
        )
        scope = anyio.CancelScope()
        self._links[id] = link
        self._scopes[id] = scope
        group.start_soon(self._run_link, link, scope)

    async def _run_link(self, link: MessageConnection, scope: anyio.CancelScope) -> None:
        with scope:
            await link.run()

    async def _exchange_hellos(self, id: str, stream: ByteStream) -> None:
        """Exchange Hellos on a new connection."""
        await stream.send(encode_frame(encode(self._own_hello())))
        hello = await receive_hello(stream)
        negotiate_version(self._own_hello(), hello)
        if hello.id != id:
            raise ProtocolError(f"expected replica {id} at this address, but it is {hello.id}")
        self.log_state(id, "up")

    def log_state(self, id: str, why: str) -> None:
        """Log the state of a link if it changed."""
        if self._logged_states.get(id) != why:
            self._logged_states[id] = why
            self._log("link", to=id, why=why)
