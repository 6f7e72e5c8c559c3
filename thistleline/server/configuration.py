"""The configuration that a server reads at startup: its name, addresses, limits and settings."""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from thistleline.interface import ServerSettings
from thistleline.wire.settings import (
    SettingsError,
    read_gauge_names,
    read_round_interval,
    read_server_settings,
)

Address = tuple[str, int]
MS = 1_000_000
MAX_NUMBER = 1e12
# The largest limits that the platform sets, used where the configuration file states no limit.
DEFAULT_MEMORY_MB = 192
DEFAULT_DESCRIPTORS = 1024


class ConfigurationError(Exception):
    """A resource that the server needs can't be used; the message is one line with the reason."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration of a server."""

    name: str
    listen: Address
    agent: Address
    announce: Address
    backend: Address | None  # the downstream dependency; None where the site has none
    seed: int  # seed of the random number generator
    stop_timeout: int  # ns from the shutdown request until the process must have stopped
    descriptors: int  # file descriptors that the process may open
    memory: int  # bytes of memory that the process may use
    settings: ServerSettings
    gauges: tuple[str, ...]  # names of the agent's gauges, in the order in which it sends their values
    granularity: int  # minimum time between two rounds of the policy, ns

    def log_fields(self) -> dict[str, Any]:
        """Return the fields to log at startup; durations of stages are in ms."""
        return {
            "stages": {
                stage.name: [
                    stage.latency_objective // MS,
                    stage.timeout // MS,
                    stage.idempotency_window // MS,
                ]
                for stage in self.settings.stages
            },
            "cores": self.settings.cores,
            "memory_kb": self.settings.memory_kb,
            "stop_ms": self.stop_timeout // MS,
            "granularity_us": self.granularity // 1000,
        }


def read_configuration(environ: Mapping[str, str]) -> Configuration:
    """Read the file that ROUTER_CONFIG names; unknown keys are ignored.

    Raises:
        SettingsError: The file can't be read or is invalid; the message is one line.
    """
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise SettingsError("the environment variable ROUTER_CONFIG is unset or empty")
    try:
        with open(path, "rb") as file:
            return _build(orjson.loads(file.read()), environ)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error
    except KeyError as error:
        raise SettingsError(f"{path}: {error.args[0]!r} is missing or unknown") from error
    except (ValueError, TypeError, ArithmeticError, AttributeError, LookupError) as error:
        raise SettingsError(f"{path}: {' '.join(str(error).split()) or type(error).__name__}") from error


def _build(document: dict[str, Any], environ: Mapping[str, str]) -> Configuration:
    settings = document["settings"]
    limits = {} if document.get("limits") is None else document["limits"]
    sockets = limits.get("sockets")
    memory_mb = limits.get("memory_mb")
    return Configuration(
        name=str(environ.get("ROUTER_NAME") or document["name"]),
        listen=_address(environ.get("ROUTER_LISTEN") or document["listen"]),
        agent=_address(document["agent"]),
        announce=_address(document["announce"]),
        backend=_address(document["backend"]) if document.get("backend") else None,
        seed=int(str(document.get("seed") or 0), 16),
        stop_timeout=_positive("stop_ms", document["stop_ms"], MS),
        descriptors=_descriptors(None if sockets is None else _positive("sockets", sockets)),
        memory=_positive("memory_mb", DEFAULT_MEMORY_MB if memory_mb is None else memory_mb, 1024 * 1024),
        settings=read_server_settings(settings),
        gauges=read_gauge_names(settings),
        granularity=read_round_interval(settings),
    )


def _positive(name: str, value: Any, unit: int = 1) -> int:
    """Return a positive number times the unit, as an integer of at least 1."""
    number = float(value)
    if not 0 < number < MAX_NUMBER:
        raise SettingsError(f"{name!r} is {value!r}, not a number above 0")
    return max(1, int(number * unit))


def _descriptors(limit: int | None) -> int:
    """Return the limit on file descriptors, which is at most the limit that the system sets."""
    wanted = limit or DEFAULT_DESCRIPTORS
    system_limit = os.sysconf("SC_OPEN_MAX")
    if system_limit <= 0:  # the system has no limit
        return wanted
    return min(wanted, system_limit)


def _address(text: Any) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise SettingsError(f"{text!r} is not an address of the form host:port")
    return host.strip("[]"), int(port)
