"""Messages as protobuf, field by field after their common names."""

import re

from google.protobuf import message as protobuf

from acaciafield import messages
from acaciafield import structs
from acaciafield_daemon import peers_pb2

_INNER = {
    "updates": messages.MemberUpdate,
    "record": messages.KeyRecord,
    "records": messages.KeyRecord,
    "hosts": messages.HostEntry,
}


class UnreadableMessage(Exception):
    """Bytes from a peer that are no message."""


def encode_envelope(sender, message):
    """Return an Envelope that holds the message."""
    envelope = peers_pb2.Envelope(sender=sender)
    name = _FIELDS[type(message)]
    field = getattr(envelope, name)
    field.SetInParent()
    _fill(field, message)
    return envelope


def decode_envelope(envelope):
    """Return the sender and the message of an Envelope."""
    name = envelope.WhichOneof("message")
    if name is None or not envelope.sender:
        raise UnreadableMessage("an envelope without a message")
    return envelope.sender, _read(_KINDS[name], getattr(envelope, name))


def decode_datagram(data):
    """Return the sender and the message of a datagram."""
    try:
        return decode_envelope(peers_pb2.Envelope.FromString(data))
    except protobuf.DecodeError as error:
        raise UnreadableMessage(str(error)) from error


def _fill(field, value):
    for name in value.__slots__:
        content = getattr(value, name)
        if isinstance(content, structs.Struct):
            _fill(getattr(field, name), content)
        elif name in _INNER:
            for inner in content:
                _fill(getattr(field, name).add(), inner)
        elif isinstance(content, (list, tuple)):
            getattr(field, name).extend(content)
        else:
            setattr(field, name, content)


def _read(kind, field):
    values = []
    for name in kind.__slots__:
        content = getattr(field, name)
        if name == "record":
            content = _read(_INNER[name], content)
        elif name in _INNER:
            content = [_read(_INNER[name], inner) for inner in content]
        elif name in ("avoid", "adopted"):
            content = tuple(content)
        values.append(content)
    return kind(*values)


def _name_field(kind):
    return re.sub(r"(?<!^)(?=[A-Z])", "_", kind.__name__).lower()


_FIELDS = {
    kind: _name_field(kind)
    for kind in vars(messages).values()
    if isinstance(kind, type)
    and _name_field(kind) in peers_pb2.Envelope.DESCRIPTOR.fields_by_name
}
_KINDS = {name: kind for kind, name in _FIELDS.items()}
