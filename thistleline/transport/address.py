"""Where a process listens: one address, told in full."""

import ipaddress

Address = tuple[str, int]


def read_address(text: str) -> Address:
    """`127.0.0.1:7001`, `[::1]:7001`. Raises ValueError. No names: nothing is looked up; and no wildcard:
    who listens on every address is reached from where nobody thought of."""
    host, _, port = text.rpartition(":")
    try:
        known = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        number = int(port)
    except ValueError:
        raise ValueError(f"{text!r} is no address: an IP address, a colon and a port") from None
    if known.is_unspecified or known.is_multicast:
        raise ValueError(f"{text!r} is no one address to listen on or go to")
    if not 0 < number < 65536:
        raise ValueError(f"{text!r} has no port from 1 to 65535")
    return str(known), number
