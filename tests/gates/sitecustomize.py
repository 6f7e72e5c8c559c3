"""Stops a program under test at a chosen event until the test releases it, and injects faults into it.

Only programs that a test starts with this directory on PYTHONPATH load it. Two variables control it:

    TEST_GATE    {"at": "import NAME" | "open FILE" | "bind" | "listening" | "begin" | "exit", "port": N}
    TEST_FAULTS  [{"module": NAME, "what": "Class.function", "error": NAME, "times": N} | {..., "delay": S}]
"""

import builtins
import importlib.abc
import importlib.machinery
import json
import os
import socket
import sys
from collections.abc import Callable
from typing import Any, NoReturn

GATE = json.loads(os.environ.get("TEST_GATE", "null"))
FAULTS = json.loads(os.environ.get("TEST_FAULTS", "[]"))
UNUSED_FAULT_EXIT_CODE = 86  # exit code of a program into which at least one fault was never injected
passed_events: list[str] = []
injected_faults: list[dict[str, Any]] = []


def wait_at_gate(event: str) -> None:
    """Waits for the test to release the gate, the first time the chosen event occurs."""
    if passed_events or GATE is None or GATE["at"] != event:
        return
    passed_events.append(event)
    with socket.create_connection(("127.0.0.1", GATE["port"])) as connection:
        connection.sendall(b"x")
        connection.recv(1)


def audit_hook(event: str, args: tuple[Any, ...]) -> None:
    if event == "import":
        wait_at_gate(f"import {args[0]}")
    elif event == "open":
        wait_at_gate(f"open {os.path.basename(str(args[0]))}")
    elif event == "socket.bind":
        wait_at_gate("bind")


def with_error(original: Callable[..., Any], fault: dict[str, Any]) -> Callable[..., Any]:
    """Wraps a function so that its first `times` calls raise the fault's error."""
    remaining = [fault.get("times", 1)]

    def wrapper(*args: Any, **kwargs: Any) -> Any:
        if remaining[0] > 0:
            remaining[0] -= 1
            raise getattr(builtins, fault["error"])("fault injected by the test")
        return original(*args, **kwargs)

    return wrapper


def with_delay(original: Callable[..., Any], fault: dict[str, Any]) -> Callable[..., Any]:
    """Wraps a coroutine function so that each call starts after the fault's delay."""

    async def wrapper(*args: Any, **kwargs: Any) -> Any:
        import anyio

        await anyio.sleep(fault["delay"])
        return await original(*args, **kwargs)

    return wrapper


class FaultFinder(importlib.abc.MetaPathFinder):
    """Injects the faults of a module as soon as the module has been loaded."""

    def find_spec(self, name: str, path: Any, target: Any = None) -> Any:
        faults = [fault for fault in FAULTS if fault["module"] == name]
        if not faults:
            return None
        spec: Any = importlib.machinery.PathFinder.find_spec(name, path)
        original_exec_module = spec.loader.exec_module

        def exec_module(module: Any) -> None:
            original_exec_module(module)
            for fault in faults:
                *owner_path, function_name = fault["what"].split(".")
                owner: Any = module
                for attribute in owner_path:
                    owner = getattr(owner, attribute)
                wrap = with_delay if "delay" in fault else with_error
                setattr(owner, function_name, wrap(getattr(owner, function_name), fault))
                injected_faults.append(fault)

        spec.loader.exec_module = exec_module
        return spec


if GATE is not None:
    if GATE["at"] == "listening":
        original_create_server = socket.create_server

        def create_server(*args: Any, **kwargs: Any) -> Any:
            server = original_create_server(*args, **kwargs)
            wait_at_gate("listening")
            return server

        socket.create_server = create_server
    elif GATE["at"] == "exit":
        ungated_exit = os._exit

        def exit_after_gate(status: int) -> NoReturn:
            wait_at_gate("exit")
            ungated_exit(status)

        os._exit = exit_after_gate
    elif GATE["at"] == "begin":
        wait_at_gate("begin")
    else:
        sys.addaudithook(audit_hook)
if FAULTS:
    sys.meta_path.insert(0, FaultFinder())
    original_exit = os._exit

    def exit_checked(status: int) -> NoReturn:
        """Exits with an error if a fault was never injected.

        The module that such a fault names is never imported: the name in the test is out of date, and the
        test checks nothing.
        """
        missing = [fault for fault in FAULTS if fault not in injected_faults]
        if missing:
            print(f"faults never injected: {missing}", file=sys.stderr, flush=True)
        original_exit(UNUSED_FAULT_EXIT_CODE if missing else status)

    os._exit = exit_checked
