"""Builders of configurations with workspaces and their keys."""

import copy

import orjson

from acaciafield.gateway import terms
from acaciafield_platform import documents
from tests import test_platform

COLUMNS = ["name", "apiKeys", "priority", "ratePerS", "burst"]
WORKSPACE_ROWS = (
    ["w-large", ["key-large", "key-large-2"], 0, None, None],
    ["w-small", ["key-small"], None, None, None],
)


def make_strict_terms(**fields):
    """Return Terms with strict revocation."""
    values = {"ratio": 0.2, "slack": 20.0, "window": 10.0, "floor": 0.7}
    return terms.Terms(strict_revocation=True, **(values | fields))


def make_tenants(*rows):
    """Return a table of tenants, by default of w-large and w-small."""
    chosen = rows or WORKSPACE_ROWS
    return {"columns": COLUMNS, "rows": [list(row) for row in chosen]}


def make_document(version=7, tenants=None, skip_auth=()):
    """Return a configuration as the operator writes it.

    ``skip_auth`` maps names of routes to the value of that field.
    """
    document = copy.deepcopy(test_platform.CONFIGURATION)
    document["version"] = version
    document["tenants"] = make_tenants() if tenants is None else tenants
    table = document["routes"]
    table["columns"].append("skipAuth")
    for row in table["rows"]:
        row.append(dict(skip_auth).get(row[0]))
    return document


def decode(document):
    """Return the Configuration of a document."""
    return documents.decode_configuration(orjson.dumps(document))
