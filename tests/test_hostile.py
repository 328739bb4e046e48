"""Malformed input from callers, peers and operators is refused."""

import cbor2
import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from rackpost.agent import prompt_chunks
from rackpost.control import messages as control
from rackpost.entry import openai
from rackpost import exceptions
from rackpost.link import codec
from rackpost.link import messages
from rackpost.state import commands
from rackpost.state import machine
from rackpost.state import schema
from rackpost import types

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)
KINDS = (
    messages.FromEntry,
    messages.FromAgent,
    control.FromClient,
    control.FromControl,
    control.FromReplica,
)


@hypothesis.given(st.binary(max_size=200), st.sampled_from(KINDS))
def test_any_bytes_are_a_message_or_a_codec_error(
    data: bytes, kinds: object
) -> None:
    try:
        codec.Decoder(kinds=kinds).decode(data)
    except exceptions.CodecError:
        pass


@hypothesis.given(JSON, st.sampled_from(KINDS))
def test_any_cbor_is_a_message_or_a_codec_error(
    value: object, kinds: object
) -> None:
    try:
        codec.Decoder(kinds=kinds).decode(cbor2.dumps(value))
    except exceptions.CodecError:
        pass


def test_deep_cbor_is_a_codec_error() -> None:
    data = b"\x81" * 100_000 + b"\x00"
    with pytest.raises(exceptions.CodecError):
        codec.Decoder(kinds=messages.FromEntry).decode(data)


@hypothesis.given(st.binary(max_size=300), st.booleans())
def test_any_body_is_a_request_or_a_bad_request(
    data: bytes, chat: bool
) -> None:
    try:
        openai.parse(data, chat=chat, default_tokens=lambda model: 16)
    except exceptions.BadRequest:
        pass


@hypothesis.given(JSON, JSON, JSON, st.booleans())
def test_any_fields_are_a_request_or_a_bad_request(
    content: object, limit: object, extra: object, chat: bool
) -> None:
    body = {
        "model": "tolk",
        "messages": [{"role": "user", "content": content}],
        "prompt": content,
        "max_tokens": limit,
        "other": extra,
    }
    try:
        data = msgspec.json.encode(body)
        parsed = openai.parse(data, chat=chat, default_tokens=lambda model: 16)
    except exceptions.BadRequest:
        return
    assert parsed.max_tokens >= 1
    prompt_chunks.truncate_prompt(parsed.body, 100)


@pytest.mark.parametrize(
    "data, reason",
    [
        (b"", "not-json"),
        (b"{", "not-json"),
        (b"[]", "wrong-types"),
        (b'{"model": 1, "messages": []}', "wrong-types"),
        (b'{"model": "m", "messages": []}', "no-messages"),
        (b'{"model": "m"}', "no-messages"),
        (b'{"model": "m", "n": 2, "messages": []}', "n-not-one"),
        (b'{"a": ' + b"[" * 200 + b"]" * 200 + b"}", "too-deep"),
        (b"[" * 2_000_000, "too-deep"),
    ],
)
def test_each_kind_of_bad_body_has_its_reason(
    data: bytes, reason: str
) -> None:
    with pytest.raises(exceptions.BadRequest) as caught:
        openai.parse(data, chat=True, default_tokens=lambda model: 16)
    assert caught.value.reason == reason


def test_what_steers_the_engine_is_not_the_callers_to_set() -> None:
    body = (
        b'{"model": "m", "messages": [{"role": "user", "content": "a"}],'
        b'"priority": -99, "kv_transfer_params": {"remote": 1}}'
    )
    parsed = openai.parse(body, chat=True, default_tokens=lambda model: 16)
    assert b"priority" not in parsed.body
    assert b"kv_transfer_params" not in parsed.body


@hypothesis.given(
    st.text(max_size=40),
    st.dictionaries(
        st.text(max_size=30),
        st.integers() | st.floats() | st.text(max_size=70),
        max_size=4,
    ),
    st.integers(-1, 3),
)
def test_any_write_is_accepted_whole_or_not_at_all(
    path: str, values: dict[str, schema.Value], based_on: int
) -> None:
    state = machine.Machine()
    result = state.apply(
        commands.Write(
            op=types.OperationId("op"),
            who="a",
            at=0.0,
            path=path,
            based_on=types.Revision(based_on),
            values=values,
        )
    )
    if isinstance(result, commands.Accepted):
        assert state.tree.nodes[path].values == values
        state.tree.terms(path, "s", "k", 0.0)
    else:
        assert not state.tree.nodes and state.revision == 0
