"""Records of the replicated log that concern a supervisor: their keys, and how settings are identified."""

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
