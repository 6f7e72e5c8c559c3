"""The configuration that a server reads at its start: its name, addresses, limits and settings."""

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
NUMBER_BOUND = 1e12
MEMORY_MB, DESCRIPTORS = 192, 1024  # where no limit is told: the most that the platform gives


class Unusable(Exception):
    """What the program is to stand on can't be used; says why in a line."""


@dataclass(frozen=True, slots=True)
class Configuration:
    name: str
    listen: Address
    agent: Address
    announce: Address
    backend: Address | None  # what lies below, where the site has it
    seed: int
    stop_span: int  # from the notice to leave to the stop
    descriptors: int
    memory: int  # bytes that the program may take
    settings: ServerSettings
    gauges: tuple[str, ...]
    granularity: int

    def facts(self) -> dict[str, Any]:
        """What helps to read the log."""
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
            "stop_ms": self.stop_span // MS,
            "granularity_us": self.granularity // 1000,
        }


def read_configuration(environ: Mapping[str, str]) -> Configuration:
    """Raises SettingsError with one plain line; keys that are not known are passed over."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise SettingsError("ROUTER_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            told = orjson.loads(file.read())
        settings = told["settings"]
        limits = {} if told.get("limits") is None else told["limits"]
        sockets, memory_mb = limits.get("sockets"), limits.get("memory_mb")
        configuration = Configuration(
            name=str(environ.get("ROUTER_NAME") or told["name"]),
            listen=_address(environ.get("ROUTER_LISTEN") or told["listen"]),
            agent=_address(told["agent"]),
            announce=_address(told["announce"]),
            backend=_address(told["backend"]) if told.get("backend") else None,
            seed=int(str(told.get("seed") or 0), 16),
            stop_span=_positive("stop_ms", told["stop_ms"], MS),
            descriptors=_descriptors(None if sockets is None else _positive("sockets", sockets)),
            memory=_positive("memory_mb", MEMORY_MB if memory_mb is None else memory_mb, 1024 * 1024),
            settings=read_server_settings(settings),
            gauges=read_gauge_names(settings),
            granularity=read_round_interval(settings),
        )
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error
    except KeyError as error:
        raise SettingsError(f"{path}: {error.args[0]!r} is missing or unknown") from error
    except (ValueError, TypeError, ArithmeticError, AttributeError, LookupError) as error:
        raise SettingsError(f"{path}: {' '.join(str(error).split()) or type(error).__name__}") from error
    return configuration


def _positive(name: str, value: Any, unit: int = 1) -> int:
    """A number above zero, in whole units."""
    number = float(value)
    if not 0 < number < NUMBER_BOUND:
        raise SettingsError(f"{name!r} is {value!r}, not a number above 0")
    return max(1, int(number * unit))


def _descriptors(told: int | None) -> int:
    """What the limits say, and no more than the system gives."""
    most = os.sysconf("SC_OPEN_MAX")
    if most <= 0:  # the system has no bound
        return told or DESCRIPTORS
    return min(told or DESCRIPTORS, most)


def _address(text: Any) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise SettingsError(f"{text!r} is no address")
    return host.strip("[]"), int(port)
