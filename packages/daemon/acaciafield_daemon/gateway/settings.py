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
