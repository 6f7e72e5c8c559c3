"""The configuration that a server finds at its start: its name, its addresses, its limits and its bench."""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from thistleline.interface import Bench
from thistleline.wire.bench import Malformed, read_bench, read_gauges, read_granularity

Address = tuple[str, int]
MS = 1_000_000


class Unusable(Exception):
    """What the program is to stand on can't be used; says why in a line."""


@dataclass(frozen=True, slots=True)
class Configuration:
    name: str
    listen: Address
    agent: Address
    announce: Address
    seed: int
    stop_span: int  # from the notice to leave to the stop
    descriptors: int
    memory: int  # bytes that the program may take
    bench: Bench
    gauges: tuple[str, ...]
    granularity: int

    def facts(self) -> dict[str, Any]:
        """What helps to read the log."""
        return {
            "stages": {
                stage.name: [stage.due_span // MS, stage.limit_span // MS, stage.window // MS]
                for stage in self.bench.stages
            },
            "cores": self.bench.cores,
            "memory_kb": self.bench.memory_kb,
            "stop_ms": self.stop_span // MS,
            "granularity_us": self.granularity // 1000,
        }


def read_configuration(environ: Mapping[str, str]) -> Configuration:
    """Raises Malformed with one plain line; keys that are not known are passed over."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise Malformed("ROUTER_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            told = orjson.loads(file.read())
        settings = told["settings"]
        configuration = Configuration(
            name=str(environ.get("ROUTER_NAME") or told["name"]),
            listen=_address(environ.get("ROUTER_LISTEN") or told["listen"]),
            agent=_address(told["agent"]),
            announce=_address(told["announce"]),
            seed=int(str(told["seed"]), 16),
            stop_span=int(told["stop_ms"]) * 1_000_000,
            descriptors=min(int(told["limits"]["sockets"]), os.sysconf("SC_OPEN_MAX")),
            memory=int(float(told["limits"]["memory_mb"]) * 1024 * 1024),
            bench=read_bench(settings),
            gauges=read_gauges(settings),
            granularity=read_granularity(settings),
        )
    except OSError as error:
        raise Malformed(f"{path}: {error.strerror}") from error
    except Malformed as error:
        raise Malformed(f"{path}: {error}") from error
    except KeyError as error:
        raise Malformed(f"{path}: {error.args[0]!r} is missing or unknown") from error
    except (ValueError, TypeError, ArithmeticError, AttributeError) as error:
        raise Malformed(f"{path}: {' '.join(str(error).split())}") from error
    if not configuration.bench.stages:
        raise Malformed(f"{path}: there are no stages")
    if configuration.bench.below != "none":
        raise Malformed(f"{path}: the agent's protocol has no calls to what lies below")
    return configuration


def _address(text: Any) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise Malformed(f"{text!r} is no address")
    return host.strip("[]"), int(port)
