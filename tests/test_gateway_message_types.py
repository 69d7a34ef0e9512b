"""The types of the fields of the gateway's messages."""

import pytest

from acaciafield.gateway import message_types
from acaciafield.gateway import messages
from tests import gateway_support as support


@pytest.mark.parametrize(
    "message_class", list(messages.CLASS_BY_KIND.values())
)
def test_each_field_has_a_type(message_class):
    """Guards against a field by which any value of a peer enters."""
    checked = {name for name, _ in message_types._list_checks(message_class)}
    assert checked == set(message_class.__slots__)


def test_heartbeat_with_a_mistyped_time_is_found():
    """Guards against a value that made the quota's timers fail."""
    heartbeat = support.make_heartbeat(support.make_state())
    assert message_types.find_mistyped(heartbeat) is None
    heartbeat.named_time = "1"
    assert message_types.find_mistyped(heartbeat) == "named_time"
