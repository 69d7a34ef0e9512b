"""Definitions of the classes of work in an INI file."""

import configparser
import re

import expression

from acaciafield import classes
from acaciafield import structs
from acaciafield_daemon import settings

BASE_SECTION = "acaciafield"
SERVICE_OPTIONS = ("floor", "caution")
CLASS_OPTIONS = ("target", "within", "share", "key-required")
SAMPLE = """\
# Classes of work and their targets. Publish with:
#   acaciafield config publish FILE

[prices]
# Share of the backend servers that stay in use even if they seem to fail.
floor = 60%
# What matters more: quick-detection or few-false-ejections.
caution = quick-detection

[prices/price-checks]
target = quick
within = 300 ms
share = 99%

[orders]

[orders/order-intake]
target = once
within = 30 s

[manuals]

[manuals/downloads]
target = finish
"""
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}


class Definitions(structs.Struct):
    """The definitions of a file: the base offset, and a body by service."""

    __slots__ = ("base", "bodies")


def read_definitions(path):
    """Return a Result with the Definitions, or with a list of all Findings."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "is not UTF-8 text"
        return expression.Error([settings.Finding(path, 0, "", "", reason)])
    return parse_definitions(path, text)


def parse_definitions(path, text):
    """Parse the text of a definitions file as ``read_definitions`` does."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, path)
    except configparser.Error as error:
        line = getattr(error, "lineno", 0) or 0
        reason = "cannot be read: %s" % str(error).split("\n", 1)[0]
        return expression.Error([settings.Finding(path, line, "", "", reason)])
    reader = _DefinitionsReader(path, parser, settings.find_line_numbers(text))
    for section in parser.sections():
        reader.read_section(section)
    reader.check_bodies()
    if reader.findings:
        reader.findings.sort(key=lambda f: (f.line, f.option))
        return expression.Error(reader.findings)
    return expression.Ok(Definitions(reader.base, reader.bodies))


def format_definitions(base, bodies):
    """Return the text of a definitions file.

    >>> body = {"classes": {"checks": {"target": "quick", "within": 0.3}}}
    >>> text = format_definitions(7, {"prices": body})
    >>> parse_definitions("x.ini", text).ok.bodies == {"prices": body}
    True
    """
    lines = ["[%s]" % BASE_SECTION, "base = %d" % base, ""]
    for service, body in sorted(bodies.items()):
        lines.append("[%s]" % service)
        if "floor" in body:
            lines.append("floor = %g%%" % (100 * body["floor"]))
        if "caution" in body:
            lines.append("caution = %s" % body["caution"])
        lines.append("")
        for name, fields in body["classes"].items():
            lines.append("[%s/%s]" % (service, name))
            lines.extend(_format_class(fields))
            lines.append("")
    return "\n".join(lines)


def replace_base(text, base):
    """Return the text of a file with the base offset replaced.

    >>> print(replace_base("[acaciafield]\\nbase = 3\\n", 4), end="")
    [acaciafield]
    base = 4
    """
    line = "base = %d" % base
    changed, count = re.subn(r"(?m)^base\s*=\s*\d+\s*$", line, text, count=1)
    if count:
        return changed
    return "[%s]\n%s\n\n%s" % (BASE_SECTION, line, text)


class _DefinitionsReader:
    """Reads the definitions of a file and collects the findings."""

    def __init__(self, path, parser, lines):
        self.path = path
        self.parser = parser
        self.lines = lines
        self.findings = []
        self.base = 0
        self.bodies = {}

    def add_finding(self, section, option, text):
        line = self.lines.get(
            (section, option), self.lines.get((section, ""), 0)
        )
        self.findings.append(
            settings.Finding(self.path, line, section, option, text)
        )

    def read_section(self, section):
        if section == BASE_SECTION:
            self._read_base()
            return
        service, slash, name = section.partition("/")
        name_pattern = r"[a-z0-9][a-z0-9-]{0,62}"
        names = (service, name) if slash else (service,)
        if not all(re.fullmatch(name_pattern, n) for n in names):
            self.add_finding(
                section,
                "",
                "names must be lower-case letters, digits and dashes",
            )
            return
        body = self.bodies.setdefault(service, {"classes": {}})
        known_options = CLASS_OPTIONS if slash else SERVICE_OPTIONS
        fields = self._read_options(section, known_options)
        if slash:
            body["classes"][name] = fields
        else:
            body.update(fields)

    def check_bodies(self):
        for service, body in self.bodies.items():
            if not body["classes"]:
                self.add_finding(service, "", "has no class of work")
            result = classes.check_service(service, body)
            if result.is_error():
                for finding in result.error:
                    self._add_check_finding(finding)

    def _add_check_finding(self, finding):
        section, _, text = finding.partition(": ")
        option, _, rest = text.partition(" ")
        option = option.replace("_", "-")
        if option in SERVICE_OPTIONS + CLASS_OPTIONS:
            text = rest
        if any(
            f.section == section and f.option == option for f in self.findings
        ):
            return
        self.add_finding(section, option, text.rstrip("."))

    def _read_base(self):
        text = self.parser.get(BASE_SECTION, "base", fallback="0")
        if not text.isdigit():
            self.add_finding(BASE_SECTION, "base", "must be an offset")
            return
        self.base = int(text)

    def _read_options(self, section, known_options):
        fields = {}
        for option in self.parser.options(section):
            if option not in known_options:
                self.add_finding(section, option, "is no known option")
                continue
            text = self.parser.get(section, option)
            try:
                fields[option.replace("-", "_")] = _PARSERS[option](text)
            except ValueError as error:
                self.add_finding(section, option, "%s, not %r" % (error, text))
        return fields


def _parse_share(text):
    match = re.fullmatch(r"([0-9.]+)\s*%", text)
    try:
        return round(float(match.group(1)) / 100.0, 6)
    except (AttributeError, ValueError):
        raise ValueError("must be a percentage such as 99%") from None


def _parse_time(text):
    match = re.fullmatch(r"([0-9.]+)\s*(ms|s|min|h)", text)
    try:
        return round(
            float(match.group(1)) * _SECONDS_BY_UNIT[match.group(2)], 6
        )
    except (AttributeError, ValueError):
        raise ValueError("must be a time such as 300 ms or 2 s") from None


def _parse_yes_no(text):
    if text not in ("yes", "no"):
        raise ValueError("must be yes or no")
    return text == "yes"


def _format_class(fields):
    lines = ["target = %s" % fields["target"]]
    if "within" in fields:
        lines.append("within = %g s" % fields["within"])
    if "share" in fields:
        lines.append("share = %g%%" % (100 * fields["share"]))
    if "key_required" in fields:
        yes = "yes" if fields["key_required"] else "no"
        lines.append("key-required = %s" % yes)
    return lines


_PARSERS = {
    "floor": _parse_share,
    "caution": str,
    "target": str,
    "within": _parse_time,
    "share": _parse_share,
    "key-required": _parse_yes_no,
}
