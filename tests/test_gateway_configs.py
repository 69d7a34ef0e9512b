"""Tests of the check of a configuration document before it is sent."""

import json

import pytest

from acaciafield_operator import gateway_check
from acaciafield_operator import main
from acaciafield_platform import configuration_checks
from tests import test_platform

SECRET = "k-secret"


def make_route(name="r1", **fields):
    """Return the row of an ordinary route."""
    values = {
        "name": name,
        "hostname": "a.example",
        "pathPrefix": "/%s/" % name,
        "kind": "safe",
        "timeoutMs": 2000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": "s1",
        "maxAttempts": 2,
    }
    return values | fields


def make_document(*rows, **fields):
    """Return a document with these routes."""
    values = {
        "version": 7,
        "routes": list(rows) or [make_route()],
        "services": [{"name": "s1"}],
    }
    return values | fields


def read(tmp_path, document):
    path = tmp_path / "new.json"
    path.write_text(json.dumps(document))
    return configuration_checks.read_document(str(path)).ok


def list_findings(tmp_path, document, **options):
    found = configuration_checks.find_findings(
        read(tmp_path, document), **options
    )
    return [str(finding) for finding in found]


def test_document_of_the_platform_is_in_order(tmp_path):
    assert list_findings(tmp_path, test_platform.CONFIGURATION) == []


@pytest.mark.parametrize(
    "row, finding",
    [
        (
            make_route(timeoutMs="soon"),
            "route r1: timeoutMs is 'soon'",
        ),
        (
            make_route(timeoutMs=500),
            "route r1: timeoutMs 500 is under targetLatencyMs 1000",
        ),
        (
            make_route(service="s9"),
            "route r1: service s9 is not in the list",
        ),
        (
            make_route(maxAttempts=4),
            "route r1: maxAttempts 4 exceeds the 3 workers of s1",
        ),
        (
            make_route(hostname="a.example:80"),
            "route r1: hostname has a port, so it never matches",
        ),
        (
            make_route(pathPrefix="a/"),
            "route r1: pathPrefix has no leading /: it never matches",
        ),
        (
            make_route(pathPrefix="/a?b=1"),
            "route r1: pathPrefix has a query: it never matches",
        ),
        (
            make_route(trafficSplit=[{"service": "s1", "weight": 0}]),
            "route r1: the weights of trafficSplit are all zero",
        ),
    ],
)
def test_faulty_route_is_reported_with_its_place(tmp_path, row, finding):
    document = make_document(row)
    found = list_findings(tmp_path, document, worker_counts={"s1": 3})
    assert finding in found


def test_route_with_the_host_and_prefix_of_another_is_reported(tmp_path):
    # The nodes use the later one; host names differ in case only.
    rows = [
        make_route("r1", pathPrefix="/a/"),
        make_route("r2", pathPrefix="/a/", hostname="A.example"),
    ]
    document = make_document(*rows)
    assert list_findings(tmp_path, document) == [
        "route r1: it never matches, as a later route, r2, has the same "
        "host and prefix"
    ]
    found = read(tmp_path, document).configuration.find_route(
        "a.example", "/a/x"
    )
    assert found.name == "r2"


@pytest.mark.parametrize("as_table", [False, True])
def test_faulty_workspaces_are_reported_without_their_keys(tmp_path, as_table):
    rows = [
        {"name": "w1", "apiKeys": [SECRET, "k2"], "ratePerS": 10, "burst": 51},
        {"name": "w2", "apiKeys": ["k3", SECRET, "k3"], "burst": 5},
        {"name": "w3", "apiKeys": []},
        {"name": "w4", "apiKeys": ["k4"], "ratePerS": 10, "burst": 50},
    ]
    tenants = rows
    if as_table:
        columns = ["name", "apiKeys", "ratePerS", "burst"]
        values = [[row.get(name) for name in columns] for row in rows]
        tenants = {"columns": columns, "rows": values}
    document = make_document(tenants=tenants)
    found = list_findings(tmp_path, document)
    assert sorted(found) == [
        "workspace w1: burst 51 is more than ratePerS 10 fills up in the "
        "quota window of 5 s",
        "workspace w2: apiKeys[2] is also a key of another workspace",
        "workspace w2: apiKeys[3] repeats apiKeys[1]",
        "workspace w2: burst has no effect, as ratePerS sets no limit",
        "workspace w3: it has no key, so that nobody can use it",
    ]


def check(tmp_path, capsys, document, *arguments, current=None):
    """Run the command; return its exit code, output and errors."""
    path = tmp_path / "new.json"
    path.write_text(
        document if isinstance(document, str) else json.dumps(document)
    )
    options = []
    if current is not None:
        other = tmp_path / "current.json"
        other.write_text(json.dumps(current))
        options = ["--in-force", str(other)]
    code = main.app(
        ["check-gateway-config", str(path), *options, *arguments],
        result_action="return_value",
    )
    captured = capsys.readouterr()
    return code, captured.out, captured.err


def test_exit_code_tells_findings_from_unreadable_files(tmp_path, capsys):
    assert check(tmp_path, capsys, make_document())[0] == 0
    faulty = make_document(make_route(service="s9"))
    code, _, errors = check(tmp_path, capsys, faulty)
    assert code == 1
    assert "route r1: service s9 is not in the list" in errors
    for text in ("junk", "[]", "{}", '{"version": 1}', '{"version": "x"}'):
        code, out, errors = check(tmp_path, capsys, text)
        assert (code, out, errors != "") == (2, "", True)
    assert gateway_check.check_gateway_config(str(tmp_path / "none")) == 2


@pytest.mark.parametrize("text", ["s1", "s1=x", "=3", "s1=-1"])
def test_number_of_workers_must_be_readable(tmp_path, capsys, text):
    arguments = ("--workers", text)
    assert check(tmp_path, capsys, make_document(), *arguments)[0] == 2


def test_number_of_workers_is_taken_from_the_command_line(tmp_path, capsys):
    arguments = ("--workers", "s1=1", "--workers", "s2=5")
    code, _, errors = check(tmp_path, capsys, make_document(), *arguments)
    assert (code, "exceeds the 1 workers of s1" in errors) == (1, True)


def make_versions():
    """Return a document in force and one that follows it."""
    current = make_document(
        make_route("r1"),
        make_route("r2"),
        tenants=[{"name": "w1", "apiKeys": [SECRET, "k2"]}],
        limits={"maxBodyBytes": 1000},
    )
    document = make_document(
        make_route("r1", timeoutMs=3000),
        make_route("r3"),
        tenants=[{"name": "w1", "apiKeys": [SECRET, "k3", "k4"]}],
        limits={"maxBodyBytes": 2000},
        version=8,
    )
    return current, document


def test_differences_to_the_document_in_force_are_named(tmp_path, capsys):
    current, document = make_versions()
    code, out, _ = check(tmp_path, capsys, document, current=current)
    assert code == 0
    assert out.splitlines()[1:] == [
        "route r1: timeoutMs: 2000 -> 3000",
        "route r2: removed",
        "route r3: added",
        "workspace w1: apiKeys: 2 keys -> 3 keys, of which 1 are in force",
        "limits: maxBodyBytes: 1000 -> 2000",
        "document: version: 7 -> 8",
    ]
    assert SECRET not in out


def test_json_has_findings_and_differences(tmp_path, capsys):
    current, document = make_versions()
    code, out, _ = check(tmp_path, capsys, document, "--json", current=current)
    found = json.loads(out)
    assert (code, found["findings"]) == (0, [])
    assert found["differences"][0] == {
        "kind": "changed",
        "place": "route r1",
        "field": "timeoutMs",
        "old": 2000,
        "new": 3000,
    }
    assert SECRET not in out


def test_version_that_the_nodes_would_ignore_is_reported(tmp_path, capsys):
    code, _, errors = check(
        tmp_path, capsys, make_document(), current=make_document()
    )
    assert code == 1
    assert "version: 7 is not above 7, which is in force" in errors


def test_order_of_columns_is_no_difference(tmp_path, capsys):
    table = test_platform.CONFIGURATION
    rows = list(configuration_checks.list_rows(table, "routes"))
    current = table | {"routes": rows, "version": 6}
    _, out, _ = check(tmp_path, capsys, table, current=current)
    assert out.splitlines()[1:] == ["document: version: 6 -> 7"]


@pytest.mark.parametrize(
    "tenants",
    [
        False,
        "x",
        [1, None, {}],
        [{"name": "w1", "apiKeys": SECRET}],
        [{"name": "w1", "apiKeys": [[SECRET], None, ""]}],
        [{"name": "w1", "apiKeys": [SECRET], "ratePerS": SECRET}],
        {"columns": [["name"]], "rows": [[SECRET]]},
        {"columns": ["name"]},
    ],
)
def test_unreadable_workspaces_show_no_key(tmp_path, capsys, tenants):
    document = make_document(tenants=tenants)
    code, out, errors = check(tmp_path, capsys, document)
    assert code == 1
    assert SECRET not in out + errors


def test_trafficsplit_without_weights_is_not_called_zero(tmp_path):
    row = make_route(trafficSplit=[{"service": "s1"}])
    found = list_findings(tmp_path, make_document(row))
    assert found == ["route r1: trafficSplit is [{'service': 's1'}]"]
