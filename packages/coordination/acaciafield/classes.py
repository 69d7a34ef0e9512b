"""Classes of work and their targets, read from a configuration."""

import enum

import expression

from acaciafield import structs

DEFAULT_FLOOR = 0.6  # share of a service's capacity kept in use
DEFAULT_WITHIN = 1.0  # seconds
DEFAULT_SHARE = 0.99
ONCE_WAIT = 30.0  # seconds an order may take, queue included
FINISH_WAIT = 3600.0  # seconds a download may take
FINISH_STALL = 2.0  # seconds without a byte before a download resumes
FINISH_SLOTS = 0.5  # share of the slots that downloads may hold


class Target(enum.Enum):
    """What a class of work is promised."""

    QUICK = "quick"
    ONCE = "once"
    FINISH = "finish"


class Caution(enum.Enum):
    """Which mistake about a worker costs a user more."""

    QUICK_DETECTION = "quick-detection"
    FEW_FALSE_EJECTIONS = "few-false-ejections"


class WorkClass(structs.Struct):
    """A class of work.

    ``within`` is in seconds; ``share`` the part of the requests that
    shall meet the target; ``key_required`` refuses work without a key.
    """

    __slots__ = ("name", "target", "within", "share", "key_required")
    DEFAULTS = {
        "within": DEFAULT_WITHIN,
        "share": DEFAULT_SHARE,
        "key_required": False,
    }


class ServiceConfig(structs.Struct):
    """A service with its classes of work; ``floor`` is a share."""

    __slots__ = ("name", "floor", "caution", "classes")

    def find_class(self, method, name):
        """Return the class for a request, or None if it names no class.

        Without a name, safe methods take the first quick class, then
        the first finish class, and other methods the first once class.
        """
        if name:
            return self.classes.get(name)
        wanted = (Target.ONCE,)
        if method in ("GET", "HEAD", "OPTIONS"):
            wanted = (Target.QUICK, Target.FINISH)
        for target in wanted:
            for work_class in self.classes.values():
                if work_class.target is target:
                    return work_class
        return _make_default_class(wanted[0])


def _make_default_class(target):
    return WorkClass("default", target)


def check_service(name, body):
    """Return a Result with a ServiceConfig, or the list of findings.

    >>> body = {"classes": {"price-checks": {"target": "quick"}}}
    >>> check_service("prices", body).ok.floor
    0.6
    >>> check_service("prices", {"floor": 3, "classes": {}}).error
    ['prices: floor must be from 0.0 to 1.0.']
    """
    if not isinstance(body, dict):
        return expression.Error(["%s: must hold settings." % name])
    findings = []
    floor = _check_number(name, body, "floor", DEFAULT_FLOOR, 1.0, findings)
    caution = Caution.QUICK_DETECTION
    try:
        caution = Caution(body.get("caution", caution.value))
    except ValueError:
        findings.append(
            "%s: caution must be quick-detection or few-false-ejections."
            % name
        )
    classes = {}
    table = body.get("classes")
    for class_name, fields in (table if table else {}).items():
        place = "%s/%s" % (name, class_name)
        classes[class_name] = _check_class(place, class_name, fields, findings)
    if findings:
        return expression.Error(findings)
    return expression.Ok(ServiceConfig(name, floor, caution, classes))


def _check_class(place, name, fields, findings):
    if not isinstance(fields, dict):
        findings.append("%s: must hold settings." % place)
        return None
    target = None
    try:
        target = Target(fields.get("target"))
    except ValueError:
        findings.append("%s: target must be quick, once or finish." % place)
    default = {
        Target.ONCE: ONCE_WAIT,
        Target.FINISH: FINISH_WAIT,
    }.get(target, DEFAULT_WITHIN)
    within = _check_number(place, fields, "within", default, 86400.0, findings)
    share = _check_number(
        place, fields, "share", DEFAULT_SHARE, 0.99999, findings
    )
    key_required = fields.get("key_required", False)
    if not isinstance(key_required, bool):
        findings.append("%s: key_required must be yes or no." % place)
    return WorkClass(name, target, within, share, key_required)


def _check_number(place, fields, name, default, most, findings):
    value = fields.get(name, default)
    is_number = isinstance(value, (int, float))
    if is_number and not isinstance(value, bool) and 0.0 <= value <= most:
        return float(value)
    findings.append("%s: %s must be from 0.0 to %s." % (place, name, most))
    return default
