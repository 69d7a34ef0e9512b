"""The gateway's own settings, in an INI file.

The file is optional: a setting that is absent has its default. The page
docs/settings.md describes each setting; a test compares both.
"""

import configparser

import expression

from acaciafield import structs


class Setting(structs.Struct):
    """One setting: its place in the file, default, unit, range and meaning.

    ``attribute`` is its name in GatewaySettings; ``minimum`` and ``maximum``
    are inclusive. The type of the default is that of the value.
    """

    __slots__ = (
        "section",
        "option",
        "attribute",
        "default",
        "unit",
        "minimum",
        "maximum",
        "meaning",
    )


SETTINGS = (
    Setting(
        "hedging",
        "extra-work",
        "hedge_share",
        1.0,
        "share",
        0.0,
        1.0,
        "Largest share of a service's requests that get a second attempt "
        "because the first is slow, within the retry budget; 0 means none, 1 "
        "leaves it to the retry budget alone; below 1, none is sent near the "
        "capacity of the service.",
    ),
    Setting(
        "memory",
        "own",
        "own_memory",
        75.0,
        "MB",
        0.0,
        100000.0,
        "Memory of the process itself; clients get the rest of the host's, "
        "or 0.4 of it if that is more.",
    ),
    Setting(
        "memory",
        "large-share",
        "large_memory_share",
        0.875,
        "share",
        0.1,
        1.0,
        "Share of the clients' memory that large bodies may fill; the rest "
        "is for small requests.",
    ),
    Setting(
        "connections",
        "reserved-descriptors",
        "reserved_descriptors",
        200,
        "descriptors",
        0,
        100000,
        "Descriptors of the host's limit that the node does not use.",
    ),
    Setting(
        "connections",
        "caller-share",
        "caller_connection_share",
        0.5,
        "share",
        0.01,
        0.5,
        "Share of the usable descriptors for connections of callers.",
    ),
    Setting(
        "connections",
        "page-share",
        "page_connection_share",
        0.08,
        "share",
        0.001,
        0.1,
        "Share of the usable descriptors for connections to each of the "
        "readiness, directory, metrics and peer listeners; what the shares "
        "leave is for workers, the store and fetches from other nodes.",
    ),
    Setting(
        "connections",
        "fields",
        "max_fields",
        128,
        "fields",
        16,
        10000,
        "Largest number of header fields of a request; one with more gets "
        "400.",
    ),
    Setting(
        "rates",
        "body",
        "min_body_rate",
        500.0,
        "bytes",
        0.0,
        1000000.0,
        "Least mean rate of a request body in a second; a slower caller "
        "is disconnected.",
    ),
    Setting(
        "rates",
        "body-grace",
        "body_rate_grace",
        5.0,
        "seconds",
        0.0,
        3600.0,
        "Time of a body before its least rate applies, at least the "
        "platform's `idleTimeoutMs`.",
    ),
    Setting(
        "rates",
        "read-stall",
        "read_stall",
        15.0,
        "seconds",
        1.0,
        3600.0,
        "Time without a byte of its answer taken after which a caller is "
        "disconnected.",
    ),
)


class GatewaySettings(structs.Struct):
    """The values of SETTINGS, under the names of their attributes."""

    __slots__ = tuple(setting.attribute for setting in SETTINGS)
    DEFAULTS = {setting.attribute: setting.default for setting in SETTINGS}


def read_settings(path):
    """Return a Result with the GatewaySettings of a file.

    The error is a list of findings, one line of text each. A file that does
    not exist gives the defaults.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path, encoding="utf-8")
    except (configparser.Error, OSError, UnicodeDecodeError) as error:
        text = " ".join(str(error).split())
        return expression.Error(["%s: %s" % (path, text)])
    by_place = {(s.section, s.option): s for s in SETTINGS}
    values, findings = {}, []
    for section in parser.sections():
        for option, text in parser.items(section):
            place = "%s: [%s] %s" % (path, section, option)
            setting = by_place.get((section, option))
            if setting is None:
                findings.append("%s is unknown." % place)
                continue
            value = _parse_value(setting, text)
            if value is None:
                findings.append(
                    "%s must be between %s and %s (%s), not %r."
                    % (
                        place,
                        setting.minimum,
                        setting.maximum,
                        setting.unit,
                        text,
                    )
                )
            values[setting.attribute] = value
    if findings:
        return expression.Error(findings)
    return expression.Ok(GatewaySettings(**values))


def _parse_value(setting, text):
    """Return the value of a setting, or None if it is invalid."""
    try:
        value = type(setting.default)(text)
    except ValueError:
        return None
    return value if setting.minimum <= value <= setting.maximum else None
