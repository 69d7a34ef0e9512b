"""Messages between nodes as protobuf, matched by the names of fields."""

import re

from google.protobuf import message as protobuf

from acaciafield import messages
from acaciafield import structs
from acaciafield_daemon import peers_pb2

_NESTED_TYPES = {
    "updates": messages.MemberUpdate,
    "record": messages.KeyRecord,
    "records": messages.KeyRecord,
    "hosts": messages.HostEntry,
}


class UnreadableMessage(Exception):
    """Bytes from a peer that cannot be decoded as a message."""


def encode_envelope(sender, message):
    """Return an Envelope with the sender and the message."""
    envelope = peers_pb2.Envelope(sender=sender)
    name = _FIELD_BY_TYPE[type(message)]
    field = getattr(envelope, name)
    field.SetInParent()
    _fill_message(field, message)
    return envelope


def decode_envelope(envelope):
    """Return the sender and the message; raise UnreadableMessage."""
    name = envelope.WhichOneof("message")
    if name is None or not envelope.sender:
        raise UnreadableMessage("the envelope has no message or no sender")
    return envelope.sender, _read_message(
        _TYPE_BY_FIELD[name], getattr(envelope, name)
    )


def decode_datagram(data):
    """Return the sender and the message of a datagram."""
    try:
        return decode_envelope(peers_pb2.Envelope.FromString(data))
    except protobuf.DecodeError as error:
        raise UnreadableMessage(str(error)) from error


def _fill_message(field, value):
    for name in value.__slots__:
        field_value = getattr(value, name)
        if isinstance(field_value, structs.Struct):
            _fill_message(getattr(field, name), field_value)
        elif name in _NESTED_TYPES:
            for nested in field_value:
                _fill_message(getattr(field, name).add(), nested)
        elif isinstance(field_value, (list, tuple)):
            getattr(field, name).extend(field_value)
        else:
            setattr(field, name, field_value)


def _read_message(message_type, field):
    values = []
    for name in message_type.__slots__:
        field_value = getattr(field, name)
        if name == "record":
            field_value = _read_message(_NESTED_TYPES[name], field_value)
        elif name in _NESTED_TYPES:
            field_value = [
                _read_message(_NESTED_TYPES[name], nested)
                for nested in field_value
            ]
        elif name in ("avoid", "adopted"):
            field_value = tuple(field_value)
        values.append(field_value)
    return message_type(*values)


def _make_field_name(message_type):
    return re.sub(r"(?<!^)(?=[A-Z])", "_", message_type.__name__).lower()


_FIELD_BY_TYPE = {
    message_type: _make_field_name(message_type)
    for message_type in vars(messages).values()
    if isinstance(message_type, type)
    and _make_field_name(message_type)
    in peers_pb2.Envelope.DESCRIPTOR.fields_by_name
}
_TYPE_BY_FIELD = {
    name: message_type for message_type, name in _FIELD_BY_TYPE.items()
}
