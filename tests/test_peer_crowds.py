"""Crowds of peers on the ports of the council and of the configuration feed, against real processes."""

import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import msgspec
import pytest

from tests.host import HOST, WAIT_TIMEOUT_SECONDS
from thistleline.transport.codec import Hello, encode_frame
from thistleline.transport.receive_budget import ReceiveBudget

MEMORY_LIMIT_KB = 192 * 1024  # of a process on the platform
CROWD = 400
MESSAGE_SIZE = 1 << 20  # the largest message of a client, bytes


def free_port() -> int:
    with socket.create_server((HOST, 0)) as probe:
        return int(probe.getsockname()[1])


def start_peer(folder: Path, kind: str, port: int) -> "subprocess.Popen[bytes]":
    address = f"{HOST}:{port}"
    configurations = {
        "council": f"council folder {folder}/a\ncouncil name a\n"
        f"council listen {address}\ncouncil voter a={address}\n",
        "feed": f"feed role relay\nfeed name r1\nfeed level 1\nfeed listen {address}\nfeed up k1={HOST}:1\n",
    }
    (folder / "conf").write_text(configurations[kind])
    return subprocess.Popen(
        [sys.executable, "-m", "thistleline", kind, "--conf", str(folder / "conf")],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def connect(port: int) -> socket.socket:
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while True:
        try:
            return socket.create_connection((HOST, port), WAIT_TIMEOUT_SECONDS)
        except OSError:
            assert time.monotonic() < deadline
            time.sleep(0.05)


def peak_memory_kb(process: "subprocess.Popen[bytes]") -> int:
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(next(line.split()[1] for line in status.splitlines() if line.startswith("VmHWM")))


@pytest.fixture(params=["council", "feed"])
def peer(
    request: pytest.FixtureRequest, tmp_path: Path
) -> Iterator[tuple[str, int, "subprocess.Popen[bytes]"]]:
    port = free_port()
    process = start_peer(tmp_path, request.param, port)
    yield request.param, port, process
    process.kill()
    process.wait()


def exchange_hellos(connection: socket.socket, kind: str) -> None:
    role = "client" if kind == "council" else "follower"
    connection.sendall(encode_frame(msgspec.msgpack.encode(Hello(role, "peer"))))  # type: ignore[arg-type]
    assert connection.recv(4)


def test_clients_that_stop_within_a_large_message_do_not_exhaust_memory(
    peer: tuple[str, int, "subprocess.Popen[bytes]"],
) -> None:
    # Guards against a process that is killed for memory because hundreds of peers send half of a message.
    kind, port, process = peer
    crowd = [connect(port) for _ in range(CROWD)]
    half = (MESSAGE_SIZE - 8).to_bytes(4, "big") + bytes(MESSAGE_SIZE - 100)
    for connection in crowd:
        exchange_hellos(connection, kind)
        connection.settimeout(1)
        try:
            connection.sendall(half)
        except OSError:
            continue  # closed, because too much is incomplete
    with connect(port) as other:  # what was sent before has been read when this is answered
        exchange_hellos(other, kind)
    assert process.poll() is None
    assert peak_memory_kb(process) < MEMORY_LIMIT_KB
    for connection in crowd:
        connection.close()


def test_the_oldest_incomplete_message_is_given_up_first() -> None:
    budget, closed = ReceiveBudget(100), list[int]()
    accounts = [budget.open_account(partial(closed.append, number)) for number in range(4)]
    for account in accounts[:3]:
        account.update(30, is_new_message=False)
    accounts[0].update(31, is_new_message=True)  # a complete message, then the start of another
    assert closed == []
    accounts[3].update(60, is_new_message=False)
    assert closed == [1, 2]
    accounts[1].update(90, is_new_message=False)  # a closed connection does not count any more
    accounts[0].release()
    accounts[3].update(500, is_new_message=False)  # alone, a message may exceed the limit
    assert closed == [1, 2]
    assert budget.evictions == 2
