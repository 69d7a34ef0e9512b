"""All faults of a settings file are found; docs match the options."""

import pathlib
import re

from acaciafield_daemon import settings

SETTINGS_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "settings.md"
VALID_SETTINGS = """\
[node]
name = n1
ip = 127.0.0.1
availability-zone = a
[platform]
log = http://127.0.0.1:7001
hosts = http://127.0.0.1:7002
"""


def read_text(tmp_path, text):
    """Read settings from a file with the text."""
    path = tmp_path / "node.ini"
    path.write_text(text)
    return settings.read_settings(str(path))


def test_defaults_are_filled_in(tmp_path):
    result = read_text(tmp_path, VALID_SETTINGS)
    assert result.is_ok()
    assert result.ok.get("callers", "answer-validity") == 30.0


def test_every_finding_is_reported_with_its_place(tmp_path):
    text = VALID_SETTINGS.replace("127.0.0.1\n", "here\n", 1)
    text += "[node2]\nx = 1\n[callers]\nspeed = 9\nhead-size = big\n"
    findings = [str(f) for f in read_text(tmp_path, text).error]
    path = str(tmp_path / "node.ini")
    assert findings == [
        "%s:3 [node] ip: must be an IP number, not 'here'" % path,
        "%s:8 [node2]: is no known section" % path,
        "%s:11 [callers] speed: is no known option" % path,
        "%s:12 [callers] head-size: must be a whole number from 1024 to "
        "1073741824, not 'big'" % path,
    ]


def test_missing_file_is_one_finding(tmp_path):
    result = settings.read_settings(str(tmp_path / "none.ini"))
    assert len(result.error) == 1


def test_broken_file_is_one_finding_with_its_line(tmp_path):
    result = read_text(tmp_path, "[node]\nname n1\n")
    assert [f.line for f in result.error] == [2]


def test_page_and_table_hold_the_same_options():
    # The rest of the page is of another file's settings; see
    # tests/test_gateway_settings.py.
    section = SETTINGS_PAGE.read_text().partition("## Settings of the g")[0]
    rows = re.findall(
        r"^\| `(\S+)` \| `(\S+)` \| (\S.*?) \| (.*?) \| (.*?) \|$",
        section,
        re.M,
    )
    expected = [
        (
            o.section,
            o.name,
            "required" if o.default is None else "`%s`" % o.default,
            o.unit or "text",
            o.meaning,
        )
        for o in settings.OPTIONS
    ]
    assert rows == expected
