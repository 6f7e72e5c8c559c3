"""The wire formats, tested with an independent codec, split input and malformed input.

Also the configuration, the clock and the log of a server.
"""

import dataclasses
import json
import os
import random
import time
from pathlib import Path
from typing import Any

import h11
import pytest
from thrift.Thrift import TMessageType, TType

from tests.host import (
    CONFIG,
    SETTINGS,
    booking_fields,
    decode_message,
    encode_call,
    probe_call,
    process_call,
    task_fields,
)
from thistleline.interface import RunOutcome
from thistleline.policy import MS, SECOND
from thistleline.server.clock import Clock
from thistleline.server.configuration import read_configuration
from thistleline.server.log import MAX_WAITING_LINES, Log
from thistleline.wire import agent, announce, responses
from thistleline.wire import requests as wire_requests
from thistleline.wire.agent import (
    AgentGreeting,
    CommandRefused,
    DeepCheckEnded,
    GaugesSampled,
    Remark,
    RunEnded,
    UnknownNotice,
)
from thistleline.wire.buffer import Buffer
from thistleline.wire.errors import MalformedMessageError
from thistleline.wire.lines import BUFFER_SIZE
from thistleline.wire.requests import ClientCodec, HealthRequest, MalformedRequest, TaskRequest
from thistleline.wire.settings import SettingsError, read_server_settings

CODEC = ClientCodec(read_server_settings(SETTINGS))


def copy_slices(message: Any) -> Any:
    """Copy the message's slices of the receive buffer, which is reused for the next messages."""
    slices = {
        field.name: bytes(getattr(message, field.name))
        for field in dataclasses.fields(message)
        if isinstance(getattr(message, field.name), memoryview)
    }
    return dataclasses.replace(message, **slices)


def decode_requests(pieces: list[bytes], size: int = wire_requests.BUFFER_SIZE) -> list[Any]:
    """Decode all requests from a buffer that is filled piece by piece."""
    buffer, messages = Buffer(size), list[Any]()
    for piece in pieces:
        while piece:
            room = buffer.room()
            count = min(len(room), len(piece))
            room[:count] = piece[:count]
            buffer.filled(count)
            piece = piece[count:]
            messages += [copy_slices(message) for message in CODEC.decode_requests(buffer)]
    return messages


def test_decodes_tasks_encoded_by_an_independent_codec() -> None:
    body = bytes(range(256)) * 8
    fields = task_fields(9, since="1764576000123", dup="1", novel="passed over")
    [request] = decode_requests([process_call(3, fields, body)])
    task = request.task
    assert request == TaskRequest(3, task, "7f3a9c21e0b4d655", body)  # type: ignore[arg-type]
    assert (task.id, task.stage, task.tenant, task.client) == ("0000000000000009", 0, 0, 2)
    assert (task.estimated_work, task.queued_memory_kb, task.priority_rank, task.is_retry) == (
        12_500_000,
        24.5,
        0.625,
        True,
    )
    assert (task.arrived_at, task.user) == (1764576000123 * MS, 0x7F3A9C21E0B4D655)
    [request] = decode_requests([process_call(4, booking_fields(1, "5c0f", effort=None))])
    task = request.task
    assert (task.stage, task.estimated_work, task.user, task.is_retry) == (1, None, None, False)
    assert request.retry_key == "5c0f"


def test_an_independent_codec_decodes_the_responses() -> None:
    body = bytes(range(256)) * 16
    assert decode_message(responses.encode_finished(7, body, 0.25)[4:]) == (
        "process",
        TMessageType.REPLY,
        7,
        {0: {1: body, 2: {"pressure": "0.250000"}, 3: True}},
    )
    assert decode_message(responses.encode_rejected(8, True, 1_500_001, 1.0)[4:])[3] == {
        1: {1: {"pressure": "1.000000", "cooldown": "2", "nowhere": "1"}}
    }
    assert decode_message(responses.encode_rejected(8, False, 0, None)[4:])[3] == {1: {1: {}}}
    assert decode_message(responses.encode_abandoned(9, None)[4:])[3] == {2: {1: {}}}
    assert decode_message(responses.encode_health(1, False, 0.5)[4:])[::3] == (
        "probe",
        {0: {1: b"", 2: {"pressure": "0.500000"}, 3: False}},
    )
    method, kind, seq, fields = decode_message(responses.encode_exception(5, b"process", "not so")[4:])
    assert (method, kind, seq, fields[1]) == ("process", TMessageType.EXCEPTION, 5, b"not so")
    assert decode_message(responses.encode_farewell()[4:]) == ("farewell", TMessageType.ONEWAY, 0, {})


def test_decodes_requests_split_at_any_byte() -> None:
    stream = (
        process_call(1, task_fields(1))
        + probe_call(2, True)
        + process_call(3, booking_fields(2, "key"), b"")
        + probe_call(4, False)
    )
    whole = decode_requests([stream])
    assert [(type(message), message.sequence) for message in whole] == [
        (TaskRequest, 1),
        (HealthRequest, 2),
        (TaskRequest, 3),
        (HealthRequest, 4),
    ]
    for cut in range(len(stream)):
        assert decode_requests([stream[:cut], stream[cut:]]) == whole
    assert decode_requests([stream[position : position + 1] for position in range(len(stream))]) == whole


def frame(content: bytes) -> bytes:
    return len(content).to_bytes(4, "big") + content


@pytest.mark.parametrize(
    ("sent", "seq"),
    [
        (process_call(5, task_fields(service="attic")), 5),
        (process_call(5, task_fields(service=None)), 5),
        (process_call(5, task_fields(project="nobody")), 5),
        (process_call(5, task_fields(ref="xyz")), 5),
        (process_call(5, task_fields(since="soon")), 5),
        (process_call(5, task_fields(since="9" * 400)), 5),
        (process_call(5, task_fields(effort="1e999999999")), 5),
        (process_call(5, task_fields(effort="nan")), 5),
        (process_call(5, task_fields(effort="1_0")), 5),
        (process_call(5, task_fields(since="-5")), 5),
        (process_call(5, task_fields(sender="\u0664")), 5),
        (process_call(5, task_fields(lookup="0x_f")), 5),
        (process_call(5, task_fields(room=" 5")), 5),
        (process_call(5, task_fields(room="2000")), 5),
        (process_call(5, task_fields(room="-1")), 5),
        (process_call(5, task_fields(class_rank="1.0")), 5),
        (process_call(5, task_fields(sender="9" * 4000)), 5),
        (process_call(5, task_fields(lookup="f" * 900)), 5),
        (process_call(5, task_fields(lookup="no hex")), 5),
        (process_call(5, task_fields(service="booking")), 5),
        (process_call(5, task_fields(), b"x" * 2049), 5),
        (encode_call("process", 5), 5),
        (encode_call("process", 5, (TType.I32, 1)), 5),
        (encode_call("attic", 5), 5),
        (encode_call("process", 5, (TType.MAP, task_fields()), kind=TMessageType.REPLY), 5),
        (process_call(5, {f"w{index}": "" for index in range(65)}), 5),
        (process_call(5, task_fields(), b"x" * 20_000), 5),
        (frame(process_call(5, task_fields())[4:-40]), 5),
        (frame(b"\x80\x01\x00\x01\x00\x00\x00\x03a"), None),
        (frame(b"\x00\x00\x00\x07process\x01\x00\x00\x00\x05\x00"), None),
        (frame(b""), None),
        (process_call(5, task_fields(), b"x" * 70_000), None),
        (b"GET / HTTP/1.1\r\n\r\n", None),
        (b"\xff\xff\xff\xff" + b"x" * 200, None),
    ],
)
def test_malformed_requests_are_reported_with_their_sequence_number_if_readable(
    sent: bytes, seq: int | None
) -> None:
    first = decode_requests([sent + probe_call(6, False)])
    assert (type(first[0]), first[0].sequence) == (MalformedRequest, seq)
    if seq is not None:
        assert first[1:] == [HealthRequest(6, False)]
        assert decode_requests([sent[position : position + 1] for position in range(len(sent))]) == first[:1]


@pytest.mark.parametrize("form", ["fields", "maps", "items"])
def test_a_request_with_very_many_values_is_refused_before_all_are_read(form: str) -> None:
    # Guards against clients that occupy the server with heads of very many short fields.
    values: dict[str, Any] = {
        "fields": [(TType.BOOL, True)] * 1500,
        "maps": [(TType.MAP, {f"k{index}": "" for index in range(64)})] * 9,
        "items": [(TType.MAP, task_fields(1)), (TType.STRING, b""), (TType.STRING, b"")],
    }
    message = encode_call("process", 7, *values[form])
    if form == "items":  # the last field becomes a list of as many items
        listed = b"\x0f\x00\x03\x02" + (2000).to_bytes(4, "big") + bytes(2000) + b"\x00"
        frame = message[4:].removesuffix(b"\x0b\x00\x03\x00\x00\x00\x00\x00") + listed
        message = len(frame).to_bytes(4, "big") + frame
    assert len(message) <= wire_requests.MAX_FRAME_SIZE
    requests = decode_requests([message, process_call(8, task_fields(2))])
    assert requests[0] == MalformedRequest(7, b"process", "there are too many values")
    assert requests[1].sequence == 8
    many_fields = {f"k{index}": "" for index in range(64 - len(task_fields(3)))} | task_fields(3)
    assert decode_requests([process_call(9, many_fields)])[0].task.id == task_fields(3)["ref"]


def test_corrupted_requests_raise_no_other_error() -> None:
    rng = random.Random(3)
    valid = process_call(1, task_fields()) + process_call(2, booking_fields(3, "mark"))
    for _ in range(3000):
        corrupted = bytearray(valid)
        for _ in range(rng.randint(1, 6)):
            corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
        for message in decode_requests([bytes(corrupted)]):
            assert isinstance(message, TaskRequest | HealthRequest | MalformedRequest)


def decode_notices(pieces: list[bytes]) -> list[Any]:
    buffer, notices = Buffer(BUFFER_SIZE), list[Any]()
    for piece in pieces:
        buffer.room()[: len(piece)] = piece
        buffer.filled(len(piece))
        notices += [copy_slices(notice) for notice in agent.decode_notices(buffer)]
    return notices


def run_ended(number: int, task_id: str, outcome: RunOutcome, duration: int, result: bytes) -> RunEnded:
    """Build a notice as `decode_notices` returns it."""
    return RunEnded(number, task_id, outcome, duration, result)  # type: ignore[arg-type]


def test_decodes_notices_split_at_any_byte() -> None:
    stream = (
        b"greeting new 1500\r\noutcome 1 ab good 12.5 6\r\na\r\nb\r\n\r\naside 2 all is well\r\n"
        b"outcome 3 cd gone 0 0\r\n\r\nsampled 7 0.5 3 0.1 12\r\nexercised x bad\r\nrefusal launch ef\r\n"
        b"sing\r\n"
    )
    whole = decode_notices([stream])
    assert whole == [
        AgentGreeting(True, 1500 * MS),
        run_ended(1, "ab", "finished", 12_500_000, b"a\r\nb\r\n"),
        Remark(2),
        run_ended(3, "cd", "moot", 0, b""),
        GaugesSampled("7", [0.5, 3.0, 0.1, 12.0]),
        DeepCheckEnded("x", False),
        CommandRefused("start", "ef"),
        UnknownNotice("sing"),
    ]
    for cut in range(len(stream)):
        assert decode_notices([stream[:cut], stream[cut:]]) == whole


@pytest.mark.parametrize(
    "data",
    [
        b"x" * 5000,
        b"outcome 1 ab good 5\r\n",
        b"outcome 1 ab good 5 99999999\r\n",
        b"outcome 1 ab good 5 1\r\nabc\r\n",
    ],
)
def test_malformed_notices_raise_an_error(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        decode_notices([data])


def test_an_unknown_run_outcome_counts_as_failed() -> None:
    assert decode_notices([b"outcome 1 ab odd 5 0\r\n\r\n"]) == [run_ended(1, "ab", "failed", 5 * MS, b"")]


@pytest.mark.parametrize("cut", [1, 20, 60])
def test_decodes_split_announce_responses_and_reuses_the_connection(cut: int) -> None:
    reports = announce.AnnounceConnection("127.0.0.1:1")
    for _ in range(2):
        sent = reports.encode_report("n3", True)
        assert sent.startswith(b"PUT /announce/n3 HTTP/1.1\r\n")
        assert sent.endswith(b'\r\n\r\n{"accepting":"true"}')
        answer = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nServer: x\r\n\r\n"
        assert reports.receive(answer[:cut]) is None
        assert reports.receive(answer[cut:]) == 204
        assert reports.start_next_report()


@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 2", b"nonsense\r\n\r\n"])
def test_a_truncated_announce_response_raises_an_error(answer: bytes) -> None:
    reports = announce.AnnounceConnection("127.0.0.1:1")
    reports.encode_report("n3", False)
    with pytest.raises(h11.RemoteProtocolError):
        [reports.receive(piece) for piece in dict.fromkeys((answer, b""))]


# ---- configuration, clock and log


def test_reads_the_configuration_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    configuration = read_configuration({"ROUTER_CONFIG": str(path), "ROUTER_LISTEN": "127.0.0.5:9091"})
    assert (configuration.name, configuration.listen, configuration.seed) == (
        "n3",
        ("127.0.0.5", 9091),
        0x8C1F30D27A5BE964,
    )
    assert (configuration.stop_timeout, configuration.granularity, configuration.descriptors <= 1024) == (
        3200 * MS,
        5 * MS,
        True,
    )


@pytest.mark.parametrize(
    "change",
    [
        {"settings": None},
        {"settings": {}},
        {"settings": {**SETTINGS, "classes": []}},
        {"settings": {**SETTINGS, "classes": [{"name": "x", "effect": "odd"}]}},
        {"backend": "nowhere"},
        {"seed": "green"},
        {"listen": "9090"},
        {"limits": []},
        {"stop_ms": "soon"},
        {"agent": None},
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path: Path, change: dict[str, Any]) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG | change))
    with pytest.raises(SettingsError) as raised:
        read_configuration({"ROUTER_CONFIG": str(path)})
    assert "\n" not in str(raised.value)
    assert str(raised.value)


def test_the_clock_advances_when_the_system_clock_is_set_back(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    before, system = clock.now(), time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: system() - 3600 * SECOND)
    assert 0 <= clock.now() - before < 60 * SECOND
    assert 3590 * SECOND < clock.skew() < 3610 * SECOND


def test_an_unread_log_does_not_block_and_counts_dropped_lines() -> None:
    source, sink = os.pipe()
    log = Log("n1", sink)
    for count in range(5 * MAX_WAITING_LINES):
        log.event(count, "example", {"text": "x" * 500})
    assert log.dropped > 0
    text = b""
    while log.lines or log.dropped:
        text += os.read(source, 1 << 20)
        log.flush()
    text += os.read(source, 1 << 20)
    lines = [json.loads(line) for line in text.splitlines()]
    assert lines[0] == {"at_ms": 0, "name": "n1", "event": "example", "text": "x" * 500}
    assert lines[-1]["event"] == "dropped"
    assert (
        sum(1 for line in lines if line["event"] == "example") + lines[-1]["lines"] == 5 * MAX_WAITING_LINES
    )
    os.close(source)
    log.event(1, "another event", {})
    os.close(sink)


def test_a_long_log_line_is_still_one_json_line() -> None:
    source, sink = os.pipe()
    Log("n1", sink).event(0, "example", {"text": "x" * 9000})
    assert json.loads(os.read(source, 1 << 20))["event"] == "example"
    os.close(source)
    os.close(sink)
