"""Settings of the daemon: the table of options and the file's reader."""

import configparser
import ipaddress
import re
import urllib.parse

import expression

from acaciafield import structs


class Option(structs.Struct):
    """One option; ``read`` converts its text or raises ValueError."""

    __slots__ = ("section", "name", "default", "unit", "read", "meaning")


class Finding(structs.Struct):
    """One fault of a settings file with its place; line 0 if unknown."""

    __slots__ = ("file", "line", "section", "option", "text")

    def __str__(self):
        place = "%s:%d" % (self.file, self.line)
        if self.section:
            place += " [%s]" % self.section
        if self.option:
            place += " %s" % self.option
        return "%s: %s" % (place, self.text)


def parse_name(text):
    """Parse the name of a node."""
    if not re.fullmatch(r"[A-Za-z0-9]{1,24}", text):
        raise ValueError("must be 1 to 24 letters or digits")
    return text


def parse_ip(text):
    """Parse an IP address and normalize it."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise ValueError("must be an IP number") from None


def parse_port(text):
    """Parse a port number."""
    return parse_integer(text, 1, 65535)


def parse_zone(text):
    """Parse the name of an availability zone."""
    if not re.fullmatch(r"[A-Za-z0-9.-]{1,32}", text):
        raise ValueError("must be 1 to 32 letters, digits, dots or dashes")
    return text


def parse_url(text):
    """Parse the URL of a service; drop slashes at its end."""
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("must be an http or https URL")
    return text.rstrip("/")


def parse_integer(text, minimum, maximum):
    """Parse an integer between ``minimum`` and ``maximum``, both allowed."""
    if (
        not re.fullmatch(r"[0-9]+", text)
        or not minimum <= int(text) <= maximum
    ):
        raise ValueError(
            "must be a whole number from %d to %d" % (minimum, maximum)
        )
    return int(text)


def parse_seconds(text):
    """Parse a duration in seconds, above 0 and at most a day."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0.0 < value <= 86400.0:
        raise ValueError("must be a number of seconds, over 0")
    return value


def parse_level(text):
    """Parse a log level."""
    if text not in ("quiet", "info"):
        raise ValueError("must be quiet or info")
    return text


def _parse_size(text):
    return parse_integer(text, 1024, 1 << 30)


def _parse_seed(text):
    return parse_integer(text, 0, 2**63)


REQUIRED = None
OPTIONS = (
    Option("node", "name", REQUIRED, "", parse_name, "Name of this node."),
    Option(
        "node",
        "ip",
        REQUIRED,
        "IP number",
        parse_ip,
        "Address on which callers and other nodes reach this node.",
    ),
    Option(
        "node", "http-port", "8080", "port", parse_port, "Port for callers."
    ),
    Option(
        "node",
        "peer-port",
        "8081",
        "port",
        parse_port,
        "Port for other nodes, TCP and UDP.",
    ),
    Option(
        "node",
        "availability-zone",
        REQUIRED,
        "",
        parse_zone,
        "Availability zone of this host.",
    ),
    Option(
        "node",
        "seed",
        "0",
        "number",
        _parse_seed,
        "Seed of random choices; 0 takes one from the system.",
    ),
    Option(
        "platform",
        "log",
        REQUIRED,
        "URL",
        parse_url,
        "The platform's append-only log.",
    ),
    Option(
        "platform",
        "hosts",
        REQUIRED,
        "URL",
        parse_url,
        "The platform's list of hosts.",
    ),
    Option(
        "platform",
        "timeout",
        "2",
        "seconds",
        parse_seconds,
        "Time after which the platform counts as silent.",
    ),
    Option(
        "callers",
        "answer-validity",
        "30",
        "seconds",
        parse_seconds,
        "Time for which callers may keep an answer about addresses.",
    ),
    Option(
        "callers",
        "head-size",
        "16384",
        "bytes",
        _parse_size,
        "Largest head of a request.",
    ),
    Option(
        "callers",
        "replay-body",
        "65536",
        "bytes",
        _parse_size,
        "Largest request body that is held to be sent again.",
    ),
    Option(
        "workers",
        "connect-timeout",
        "1",
        "seconds",
        parse_seconds,
        "Time in which a worker must take a connection.",
    ),
    Option(
        "workers",
        "stall-timeout",
        "2",
        "seconds",
        parse_seconds,
        "Time without a byte after which a download goes on elsewhere.",
    ),
    Option(
        "log", "level", "info", "quiet or info", parse_level, "What to log."
    ),
)


class Settings:
    """Valid settings by section and name."""

    __slots__ = ("values",)

    def __init__(self, values):
        self.values = values

    def get(self, section, name):
        """Return the value of a setting."""
        return self.values[section, name]


def read_settings(path, options=OPTIONS):
    """Return a Result with the Settings, or with a list of all Findings."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "is not UTF-8 text"
        return expression.Error([Finding(path, 0, "", "", reason)])
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, path)
    except configparser.Error as error:
        line = getattr(error, "lineno", 0) or 0
        errors = getattr(error, "errors", None)
        if errors:
            line = errors[0][0]
        reason = "cannot be read: %s" % str(error).split("\n", 1)[0]
        return expression.Error([Finding(path, line, "", "", reason)])
    return _check_settings(path, parser, find_line_numbers(text), options)


def find_line_numbers(text):
    """Return the line number, from 1, by (section, option).

    A section's own line has an empty option.
    """
    lines, section = {}, ""
    for number, line in enumerate(text.splitlines(), 1):
        header = re.match(r"\[([^]]+)\]", line)
        if header:
            section = header.group(1)
            lines[section, ""] = number
            continue
        option = re.match(r"([^\s#;:=][^:=]*?)\s*[:=]", line)
        if option:
            lines[section, option.group(1).lower()] = number
    return lines


def _check_settings(path, parser, lines, options):
    known = {(o.section, o.name) for o in options}
    sections = {o.section for o in options}
    findings = []
    for section in parser.sections():
        if section not in sections:
            line = lines.get((section, ""), 0)
            findings.append(
                Finding(path, line, section, "", "is no known section")
            )
            continue
        for name in parser.options(section):
            if (section, name) not in known:
                line = lines.get((section, name), 0)
                findings.append(
                    Finding(path, line, section, name, "is no known option")
                )
    values = {}
    for option in options:
        _check_option(path, parser, lines, option, values, findings)
    if findings:
        findings.sort(key=lambda f: (f.line, f.section, f.option))
        return expression.Error(findings)
    return expression.Ok(Settings(values))


def _check_option(path, parser, lines, option, values, findings):
    section, name = option.section, option.name
    text = parser.get(section, name, fallback=option.default)
    line = lines.get((section, name), lines.get((section, ""), 0))
    if text is None:
        findings.append(Finding(path, line, section, name, "is missing"))
        return
    try:
        values[section, name] = option.read(text)
    except ValueError as error:
        reason = "%s, not %r" % (error, text)
        findings.append(Finding(path, line, section, name, reason))
