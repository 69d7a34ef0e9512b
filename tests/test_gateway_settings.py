"""The gateway's own settings: faults are found, docs match the table."""

import pathlib
import re

from acaciafield_daemon.gateway import settings

ROOT = pathlib.Path(__file__).parent.parent
ROW = re.compile(r"\| `([\w-]+)` \| `([\w-]+)` \| `([^`]+)` \| (\w+) \|")


def read_text(tmp_path, text):
    path = tmp_path / "gateway.ini"
    path.write_text(text)
    return settings.read_settings(str(path))


def test_absent_file_gives_the_defaults(tmp_path):
    result = settings.read_settings(str(tmp_path / "none.ini"))
    assert result.ok == settings.GatewaySettings()


def test_shipped_file_is_valid():
    assert settings.read_settings(str(ROOT / "deploy/gateway.ini")).is_ok()


def test_every_faulty_setting_is_reported(tmp_path):
    text = "[hedging]\nextra-work = 2\nspeed = 1\n[none]\nx = 1\n"
    findings = read_text(tmp_path, text).error
    path = tmp_path / "gateway.ini"
    assert findings == [
        "%s: [hedging] extra-work must be between 0.0 and 1.0 (share),"
        " not '2'." % path,
        "%s: [hedging] speed is unknown." % path,
        "%s: [none] x is unknown." % path,
    ]


def test_number_that_is_not_finite_is_refused(tmp_path):
    assert read_text(tmp_path, "[hedging]\nextra-work = nan\n").is_error()


def test_docs_describe_each_setting_with_its_default_and_unit():
    page = (ROOT / "docs" / "settings.md").read_text()
    section = page.partition("## Settings of the gateway")[2]
    documented = {row for row in ROW.findall(section)}
    assert documented == {
        (s.section, s.option, str(s.default), s.unit)
        for s in settings.SETTINGS
    }
