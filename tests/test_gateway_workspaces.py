"""Decoding of workspaces, their keys and the routes that need none."""

import orjson
import pytest

from acaciafield_platform import documents
from tests import test_platform
from tests import workspace_support


def decode_rows(*rows):
    """Return the Configuration with these rows of tenants."""
    tenants = workspace_support.make_tenants(*rows)
    return workspace_support.decode(
        workspace_support.make_document(tenants=tenants)
    )


def test_workspaces_are_decoded_with_keys_priority_and_quota():
    found = decode_rows(
        ["w-large", ["key-large", "key-large-2"], 0, 100, 20],
        ["w-small", ["key-small"], None, None, None],
    )
    large = found.workspaces.find("key-large-2")
    assert (large.name, large.priority) == ("w-large", 0)
    assert (large.rate, large.burst) == (100, 20)
    small = found.workspaces.find("key-small")
    assert (small.name, small.priority) == ("w-small", None)
    assert (small.rate, small.burst) == (0.0, 0.0)
    assert found.workspaces.find("key-smal") is None
    assert found.findings == []


def test_rows_of_tenants_may_be_objects():
    row = {"name": "w-own", "apiKeys": ["key-own"]}
    found = workspace_support.decode(
        workspace_support.make_document(tenants=[row])
    )
    assert found.workspaces.find("key-own").name == "w-own"


@pytest.mark.parametrize("change", [{}, {"tenants": None}])
def test_document_without_tenants_checks_no_keys(change):
    found = workspace_support.decode(test_platform.CONFIGURATION | change)
    assert found.workspaces is None
    assert found.findings == []


def test_empty_table_of_tenants_accepts_no_key():
    empty = {"columns": workspace_support.COLUMNS, "rows": []}
    found = workspace_support.decode(
        workspace_support.make_document(tenants=empty)
    )
    assert found.workspaces.is_readable
    assert found.workspaces.find("key-small") is None


@pytest.mark.parametrize(
    "tenants",
    [
        "key-secret",
        7,
        False,
        {},
        {"columns": None, "rows": [["w-own", ["key-secret"]]]},
        {"columns": ["name", "apiKeys"]},
        {"columns": ["name", "apiKeys"], "rows": 7},
        {"columns": ["nam", "apiKeys"], "rows": [["w-own", ["key-secret"]]]},
        {"columns": ["name", "keys"], "rows": [["w-own", ["key-secret"]]]},
        {"columns": ["apiKeys", "name"], "rows": [["w-own", ["key-secret"]]]},
        ["key-secret"],
    ],
)
def test_unreadable_tenants_do_not_open_the_routes(tenants):
    found = workspace_support.decode(
        workspace_support.make_document(tenants=tenants)
    )
    assert not found.workspaces.is_readable
    assert found.find_route("a.example", "/a/").split
    assert found.findings
    assert "key-secret" not in repr(found.findings)


@pytest.mark.parametrize(
    "row",
    [
        [None, ["key-own"], None, None, None],
        ["", ["key-own"], None, None, None],
        [7, ["key-own"], None, None, None],
        ["w\r\nown", ["key-own"], None, None, None],
        [" w-own", ["key-own"], None, None, None],
        ["w-own", None, None, None, None],
        ["w-own", "key-own", None, None, None],
        ["w-own", {"key-own": 1}, None, None, None],
        ["w-own", ["key-small"], None, None, None],
        ["w-own", [7], None, None, None],
        ["w-own", [None], None, None, None],
        ["w-own", [""], None, None, None],
    ],
)
def test_malformed_workspace_or_key_leaves_the_others_valid(row):
    small = workspace_support.WORKSPACE_ROWS[1]
    found = decode_rows(small, row)
    assert found.workspaces.is_readable
    assert found.workspaces.find("key-small").name == "w-small"
    assert found.workspaces.find("key-own") is None
    (finding,) = found.findings
    assert "key-own" not in finding and "key-small" not in finding


def test_invalid_key_leaves_the_other_keys_of_its_workspace_valid():
    found = decode_rows(["w-own", [7, "key-own"], None, None, None])
    assert found.workspaces.find("key-own").name == "w-own"
    assert len(found.findings) == 1


@pytest.mark.parametrize("value", ["key-own", -1, True, [1]])
@pytest.mark.parametrize("column", ["priority", "ratePerS", "burst"])
def test_invalid_number_leaves_the_workspace_valid(column, value):
    valid = {"priority": 1, "ratePerS": 2, "burst": 3}
    absent = {"priority": None, "ratePerS": 0.0, "burst": 0.0}
    fields = valid | {column: value}
    found = decode_rows(["w-own", ["key-own"], *fields.values()])
    workspace = found.workspaces.find("key-own")
    expected = valid | {column: absent[column]}
    values = [workspace.priority, workspace.rate, workspace.burst]
    assert values == list(expected.values())
    (finding,) = found.findings
    assert column in finding and "key-own" not in finding


def test_repeated_name_adds_its_keys_to_the_first_workspace():
    found = decode_rows(
        ["w-own", ["key-1"], 1, 2, 3], ["w-own", ["key-2"], 0, 9, 9]
    )
    assert found.workspaces.find("key-2") is found.workspaces.find("key-1")
    assert found.workspaces.find("key-2").priority == 1
    assert len(found.findings) == 1


@pytest.mark.parametrize(
    "value, is_open, finding_count",
    [(True, True, 0), (False, False, 0), (None, False, 0), ("true", False, 1)],
)
def test_only_a_true_value_opens_a_route(value, is_open, finding_count):
    found = workspace_support.decode(
        workspace_support.make_document(skip_auth={"r1": value})
    )
    assert found.find_route("a.example", "/a/").skip_auth is is_open
    assert not found.find_route("b.example", "/b/").skip_auth
    assert len(found.findings) == finding_count


@pytest.mark.parametrize(
    "tenants",
    [None, "key-secret", {"columns": ["name"], "rows": [["key-secret"]]}],
)
def test_record_for_other_nodes_has_no_keys(tenants):
    document = workspace_support.make_document(
        tenants=tenants, skip_auth={"r1": True}
    )
    raw = orjson.dumps(document)
    for _ in range(2):
        found = documents.decode_configuration(raw)
        raw = documents.hide_keys(raw, found)
        assert b"key-" not in raw
    hidden = documents.decode_configuration(raw)
    assert (hidden.version, hidden.routes) == (found.version, found.routes)
    assert hidden.workspaces.is_readable is (tenants is None)
    if tenants is None:
        large = hidden.workspaces.find("key-large-2")
        assert large == found.workspaces.find("key-large-2")
        assert hidden.workspaces.find("key-small").name == "w-small"
        assert hidden.workspaces.find("key-other") is None
        digest = hidden.workspaces.list_digests("w-small")[0].hex()
        assert hidden.workspaces.find(digest) is None


def test_record_without_workspaces_stays_the_same_for_other_nodes():
    raw = orjson.dumps(test_platform.CONFIGURATION)
    found = documents.decode_configuration(raw)
    assert documents.hide_keys(raw, found) is raw


@pytest.mark.parametrize(
    "hash_key", ["zz", 7, "", "00" * 15, "00" * 16, "00" * 65]
)
def test_invalid_hash_or_hash_key_does_not_open_the_routes(hash_key):
    document = workspace_support.make_document()
    document[documents.HASH_KEY_FIELD] = hash_key
    found = workspace_support.decode(document)
    assert not found.workspaces.is_readable


def test_decoding_needs_no_column_for_routes_without_keys():
    found = documents.decode_configuration(
        b'{"version":1,"routes":[{"name":"r","hostname":"h","pathPrefix":"/",'
        b'"kind":"safe","timeoutMs":10,"service":"s"}],"tenants":[]}'
    )
    assert not found.routes[0].skip_auth
    assert found.workspaces is not None
