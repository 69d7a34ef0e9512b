"""Messages are encoded and decoded unchanged; garbage is rejected."""

import pytest

from acaciafield import messages
from acaciafield_daemon import codec

MESSAGE_TYPES = sorted(
    codec._TYPE_BY_FIELD.values(), key=lambda kind: kind.__name__
)
_NESTED_VALUES = {
    "updates": [messages.MemberUpdate("n1", "10.0.0.1", 1, 2, "a")],
    "record": messages.KeyRecord("k", 3, "started", "d"),
    "records": [messages.KeyRecord("k", 3, "started", "d", body=b"x")],
    "hosts": [messages.HostEntry("w", "1.2.3.4:5", "a")],
    "avoid": ("w1", "w2"),
    "adopted": ("n0",),
}


def make_message(kind):
    """Return a message with a value of the right type in each field."""
    values = {}
    for name in kind.__slots__:
        if name in _NESTED_VALUES:
            values[name] = _NESTED_VALUES[name]
            continue
        field = codec.peers_pb2.DESCRIPTOR.message_types_by_name[
            kind.__name__
        ].fields_by_name[name]
        values[name] = {
            field.TYPE_STRING: "text",
            field.TYPE_BYTES: b"bytes",
            field.TYPE_BOOL: True,
            field.TYPE_DOUBLE: 1.5,
        }.get(field.type, 7)
    return kind(**values)


@pytest.mark.parametrize("kind", MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_message_is_unchanged_by_encoding_and_decoding(kind):
    message = make_message(kind)
    data = codec.encode_envelope("n1", message).SerializeToString()
    assert codec.decode_datagram(data) == ("n1", message)


@pytest.mark.parametrize("data", [b"", b"\xff" * 40, b"hello", b"\x0a\x01n"])
def test_garbage_is_unreadable(data):
    with pytest.raises(codec.UnreadableMessage):
        codec.decode_datagram(data)


def test_every_message_has_an_envelope_field():
    nested = {"MemberUpdate", "KeyRecord", "HostEntry"}
    kinds = {
        name
        for name, kind in vars(messages).items()
        if isinstance(kind, type) and kind is not messages.structs.Struct
    }
    assert {k.__name__ for k in MESSAGE_TYPES} == kinds - nested
