"""Listening sockets whose accepted connections hold a limited amount of unread input."""

import socket

import anyio
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.stapled import MultiListener

from thistleline.transport.address import Address

# Bytes; the system doubles it. The event loop takes all that the system holds for a connection at once,
# before the program limits what it reads; this times the number of connections has to fit into memory.
RECEIVE_BUFFER_SIZE = 32 * 1024
READ_SIZE = 16 * 1024  # bytes of a peer's messages that are decoded at once


async def listen(address: Address) -> MultiListener[SocketStream]:
    """Listen on an address.

    Raises:
        OSError: The address can't be listened on.
    """
    listener = await anyio.create_tcp_listener(local_host=address[0], local_port=address[1])
    for part in listener.listeners:
        sock = part.extra(SocketAttribute.raw_socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE)
    return listener
