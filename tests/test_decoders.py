"""Every decoder of data that another process wrote, with valid documents that are damaged."""

from __future__ import annotations

from collections.abc import Callable  # noqa: TC003 - used at runtime
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ragwortwing_agent.engine_admin import _fencing_number_in_refusal, _name_in_start_record
from ragwortwing_agent.event_stream import read_usage
from ragwortwing_agent.whole_answer import _decode_event
from ragwortwing_entry.chat_request import read_chat_request
from ragwortwing_entry.direct import peer_messages
from ragwortwing_entry.direct.event_splitter import EventSplitter, EventStreamError
from ragwortwing_entry.direct.log_lines import read_log_lines
from ragwortwing_entry.direct.store_answers import decode_answer, owner_names
from ragwortwing_entry.direct.store_port import StoreError
from ragwortwing_lab.standins.platform_site import configuration
from ragwortwing_platform.documents import DocumentError, decode_backend, decode_configuration
from ragwortwing_platform.product_services import _decode_lines
from ragwortwing_platform.settings import SettingsError, read_settings
from ragwortwing_platform.store import Joined, _NewestPage
from ragwortwing_policy.configuration_log import Publication, decode_entry, encode_entry
from ragwortwing_policy.decoding import InvalidDataError
from ragwortwing_policy.duties.duty_record import (
    DutyRecord,
    DutyRecordError,
    decode_record,
    encode_record,
)
from ragwortwing_policy.duties.usage_windows import (
    UsageState,
    UsageStateError,
    decode_state,
    encode_state,
)
from ragwortwing_policy.order_claims import ClaimBatch, decode_batch, encode_batch
from ragwortwing_wire.delivered_text import DeliveredText

SEED = 20261204
EXAMPLES = 200
DEEP = 5_000
"""Levels of nesting beyond the recursion limit."""
MANY_DIGITS = 5_000
"""More digits than `int` accepts."""


@dataclass(frozen=True)
class DecoderCase:
    """A decoder, a valid document, and the errors that it may raise."""

    decode: Callable[[bytes], object]
    valid: bytes
    errors: tuple[type[Exception], ...] = ()


def _read_settings(data: bytes) -> object:
    with TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_bytes(data)
        return read_settings(path)


def _delivered_text(data: bytes) -> str:
    delivered = DeliveredText()
    delivered.add(b"data: " + data + b"\n\n")
    return delivered.text()


def _decode_text(data: bytes) -> object:
    return _decode_lines(frozenset({data.decode("utf-8", "replace")}))


BACKEND = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "suva",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "seq_no": 3,
    "born": 1_796_000_000_000,
}

CASES = {
    "backend server": DecoderCase(
        lambda data: decode_backend("i-1", data), msgspec.json.encode(BACKEND), (DocumentError,)
    ),
    "configuration": DecoderCase(
        decode_configuration, msgspec.json.encode(configuration()), (DocumentError,)
    ),
    "duty record": DecoderCase(
        lambda data: decode_record(data, 5),
        encode_record(DutyRecord("entry-1", 7, 3, b"state")),
        (DutyRecordError,),
    ),
    "usage state": DecoderCase(
        decode_state, encode_state(UsageState(5, {6: {"a": 1}})), (UsageStateError,)
    ),
    "page of a snapshot": DecoderCase(
        lambda data: decode_answer("call", data, _NewestPage),
        b'{"entries": [{"key": "a", "value": "e30=", "offset": 3}], "end": 4}',
        (StoreError,),
    ),
    "answer to joining": DecoderCase(
        lambda data: decode_answer("call", data, Joined),
        b'{"generation": 3, "parts": [["entries", 0, 0]]}',
        (StoreError,),
    ),
    "owners": DecoderCase(
        lambda data: list(owner_names("call", data)),
        b'{"parts": [["entries", 0, "entry-1@10.0.0.1", 0]]}',
        (StoreError,),
    ),
    "member": DecoderCase(
        _decode_text, b'[3.5, {"name": "a", "address": "10.0.0.1:1", "zone": "b", "role": "entry"}]'
    ),
    "settings": DecoderCase(
        _read_settings,
        b'{"node_id": "a", "ip": "10.0.0.1", "zone": "b", "listen": {"front": "10.0.0.1:1",'
        b' "readiness_addr": "10.0.0.1:2"}, "platform": {"address": "10.0.0.2:1"}}',
        (SettingsError,),
    ),
    "datagram": DecoderCase(
        peer_messages.decode,
        peer_messages.encode(peer_messages.PermitMessage("entry-1", 3, 0.5)),
        (InvalidDataError,),
    ),
    "published configuration": DecoderCase(
        decode_entry, encode_entry(Publication("r", 3, "day", {"a": [{"b": 1}]}))
    ),
    "claims": DecoderCase(decode_batch, encode_batch(ClaimBatch("entry-1", 3.0))),
    "chat request": DecoderCase(
        read_chat_request, b'{"model": "m", "messages": [{"role": "user", "content": "Bula"}]}'
    ),
    "usage": DecoderCase(read_usage, b'{"usage": {"prompt_tokens": 3, "completion_tokens": 4}}'),
    "event of a whole answer": DecoderCase(
        lambda data: _decode_event(b"data: " + data), b'{"id": "a", "choices": [{}]}'
    ),
    "delivered text": DecoderCase(_delivered_text, b'{"choices": [{"delta": {"content": "a"}}]}'),
    "start of an agent": DecoderCase(
        _name_in_start_record, b'{"agent_id": "a/1", "zone": "b", "started_at": 3.5}'
    ),
    "refusal of an engine": DecoderCase(_fencing_number_in_refusal, b'{"fencing_number": 3}'),
    "log line": DecoderCase(
        lambda data: read_log_lines([data]), b'{"message": "a", "time": 3.5, "process": "b"}'
    ),
    "event": DecoderCase(
        lambda data: list(EventSplitter().feed(data)), b"id: 3\ndata: a\n\n", (EventStreamError,)
    ),
}


def decode_damaged(case: DecoderCase, data: bytes) -> None:
    """Decode data; only the decoder's own errors are accepted."""
    try:
        case.decode(data)
    except case.errors:
        return


@pytest.mark.parametrize("name", CASES)
def test_undamaged_document_is_decoded(name: str) -> None:
    case = CASES[name]
    assert case.decode(case.valid)


def _damaged_documents(valid: bytes) -> dict[str, bytes]:
    """Return a document with one kind of damage each."""
    deep_value = b"[" * DEEP + b"]" * DEEP
    digits = b"9" * MANY_DIGITS
    return {
        "nested and broken off": b'{"a":' * DEEP,
        "nested lists": deep_value,
        "nested unknown field": valid.replace(b"{", b'{"unknown": ' + deep_value + b", ", 1),
        "nested objects": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
        "nested in a value": valid.replace(b"3", deep_value, 1),
        "digits": valid.replace(b"3", digits, 1),
        "digits alone": digits,
        "infinite": valid.replace(b"3", b"1e999", 1),
        "invalid utf-8": valid.replace(b"a", b"\xff\xfe", 1),
        "lone surrogate": valid.replace(b'"a', b'"\\ud800', 1),
        "nested messagepack": b"\x91" * DEEP,
        "nested messagepack maps": b"\x81\xa1a" * DEEP,
        "long messagepack array": b"\xdd\xff\xff\xff\xff",
        "empty": b"",
    }


@pytest.mark.parametrize("damage", _damaged_documents(b"{}"))
@pytest.mark.parametrize("name", CASES)
def test_damaged_document_is_a_typed_error(name: str, damage: str) -> None:
    """Guards against data of another process that ends every process which decodes it."""
    case = CASES[name]
    decode_damaged(case, _damaged_documents(case.valid)[damage])


@pytest.mark.parametrize("name", CASES)
def test_mutated_document_is_a_typed_error(name: str) -> None:
    """Guards against data of another process that ends every process which decodes it."""
    case = CASES[name]

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(st.data())
    def check(data: st.DataObject) -> None:
        document = bytearray(case.valid)
        for _ in range(data.draw(st.integers(1, 4))):
            at = data.draw(st.integers(0, len(document)))
            replaced = data.draw(st.integers(0, 3))
            document[at : at + replaced] = data.draw(_insertions)
        decode_damaged(case, bytes(document))

    check()


_insertions = st.one_of(
    st.binary(max_size=4),
    st.sampled_from([*b'{}[]",:-']).map(lambda byte: bytes([byte])),
    st.sampled_from([b"null", b"1e999", b"\\ud800"]),
    st.integers(1, MANY_DIGITS).map(lambda count: b"9" * count),
    st.builds(lambda token, depth: token * depth, st.sampled_from([b"[", b'{"a":', b"\x91"]),
              st.integers(1, DEEP)),
)  # fmt: skip


UNUSABLE_FIELDS = [
    {"address": "a..b:80"},
    {"address": "localhost:80"},
    {"address": "10.0.0.1\x00:80"},
    {"address": "x" * 100_000 + ":80"},
    {"address": "10.0.0.1:" + "9" * MANY_DIGITS},
    {"address": "10.0.0.1:\u0661\u0662"},
    {"slots": -1},
    {"slots": 10**30},
    {"born": -1},
    {"born": 10**19},
    {"zone": "x" * 100_000},
    {"version": "x" * 100_000},
    {"service": ""},
    {"state": "x" * 100_000},
]


@pytest.mark.parametrize("fields", UNUSABLE_FIELDS, ids=lambda each: str(each)[:40])
def test_entry_that_cannot_be_used_is_a_typed_error(fields: dict[str, object]) -> None:
    """Guards against a registration that is listed and fails each request sent to it."""
    with pytest.raises(DocumentError) as caught:
        decode_backend("i-1", msgspec.json.encode(BACKEND | fields))
    assert len(caught.value.cause) <= 200


@pytest.mark.parametrize("backend_id", ["", "i 1", "i-1\n", "i-1\r\nx-a: b", "\u0456-1", "i\x00"])
def test_id_that_no_header_can_hold_is_a_typed_error(backend_id: str) -> None:
    """Guards against a server id that fails each request which names the server in a header."""
    with pytest.raises(DocumentError):
        decode_backend(backend_id, msgspec.json.encode(BACKEND))
