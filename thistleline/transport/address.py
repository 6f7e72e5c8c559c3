"""Addresses that processes listen on: an IP address and a port."""

import ipaddress

Address = tuple[str, int]  # IP address without brackets, port

MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """Parse `127.0.0.1:7001` or `[::1]:7001`.

    Host names are rejected, so that no name is resolved. Wildcard addresses are rejected, because a process
    that listens on every address can be reached over unintended networks.

    Raises:
        ValueError: The text is not one unicast IP address with a port from 1 to 65535.
    """
    host, _, port_text = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        port = int(port_text)
    except ValueError:
        raise ValueError(
            f"{text!r} is not an address: an IP address, a colon and a port are required"
        ) from None
    if ip.is_unspecified or ip.is_multicast:
        raise ValueError(f"{text!r} is a wildcard or multicast address; a unicast address is required")
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"{text!r} does not have a port from 1 to 65535")
    return str(ip), port


def format_address(address: Address) -> str:
    """Return the text of an address, in the form that `parse_address` accepts."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
