"""Keys of a supervisor's records in the replicated log, and the digest that identifies settings."""

import hashlib


def desired_version_key(name: str) -> str:
    """Return the key of the desired version of the server on member `name`."""
    return f"want/{name}"


def settings_key(number: int) -> str:
    """Return the key of the settings with this number."""
    return f"settings/{number}"


def digest_settings(content: bytes) -> str:
    """Return the SHA-256 of the settings' content, hexadecimal."""
    return hashlib.sha256(content).hexdigest()
