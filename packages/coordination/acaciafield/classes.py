"""Classes of work and their targets, as the configuration sets them."""

import enum

import expression

from acaciafield import structs

DEFAULT_FLOOR_SHARE = 0.6  # share of a service's capacity that stays in use
DEFAULT_TARGET_S = 1.0
DEFAULT_TARGET_SHARE = 0.99
ONCE_TIMEOUT_S = 30.0  # including the time in the queue
FINISH_TIMEOUT_S = 3600.0  # of a download
FINISH_STALL_TIMEOUT_S = 2.0  # without a byte; then a download resumes
FINISH_SLOT_SHARE = 0.5  # share of the slots that downloads may use


class Target(enum.Enum):
    """The kind of target of a class of work."""

    QUICK = "quick"
    ONCE = "once"
    FINISH = "finish"


class Caution(enum.Enum):
    """Whether slow detection or a false ejection harms users more."""

    QUICK_DETECTION = "quick-detection"
    FEW_FALSE_EJECTIONS = "few-false-ejections"


class WorkClass(structs.Struct):
    """A class of work.

    ``within`` is in seconds; ``share`` is the share of the requests that
    must meet the target; ``key_required`` refuses requests without an
    idempotency key.
    """

    __slots__ = ("name", "target", "within", "share", "key_required")
    DEFAULTS = {
        "within": DEFAULT_TARGET_S,
        "share": DEFAULT_TARGET_SHARE,
        "key_required": False,
    }


class ServiceConfig(structs.Struct):
    """The configuration of a service; ``floor`` is a share."""

    __slots__ = ("name", "floor", "caution", "classes")

    def find_class(self, method, name):
        """Return the class of a request, or None if ``name`` is unknown.

        Without a name, safe methods use the first quick class, else the
        first finish class; other methods use the first once class. If
        there is none, a class with default values is returned.
        """
        if name:
            return self.classes.get(name)
        targets = (Target.ONCE,)
        if method in ("GET", "HEAD", "OPTIONS"):
            targets = (Target.QUICK, Target.FINISH)
        for target in targets:
            for work_class in self.classes.values():
                if work_class.target is target:
                    return work_class
        return _make_default_class(targets[0])


def _make_default_class(target):
    return WorkClass("default", target)


def check_service(name, body):
    """Return a Result with a ServiceConfig, or with a list of findings.

    >>> body = {"classes": {"price-checks": {"target": "quick"}}}
    >>> check_service("prices", body).ok.floor
    0.6
    >>> check_service("prices", {"floor": 3, "classes": {}}).error
    ['prices: floor must be from 0.0 to 1.0.']
    """
    if not isinstance(body, dict):
        return expression.Error(["%s: must hold settings." % name])
    findings = []
    floor = _check_number(
        name, body, "floor", DEFAULT_FLOOR_SHARE, 1.0, findings
    )
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
        label = "%s/%s" % (name, class_name)
        classes[class_name] = _check_class(label, class_name, fields, findings)
    if findings:
        return expression.Error(findings)
    return expression.Ok(ServiceConfig(name, floor, caution, classes))


def _check_class(label, name, fields, findings):
    if not isinstance(fields, dict):
        findings.append("%s: must hold settings." % label)
        return None
    target = None
    try:
        target = Target(fields.get("target"))
    except ValueError:
        findings.append("%s: target must be quick, once or finish." % label)
    default = {
        Target.ONCE: ONCE_TIMEOUT_S,
        Target.FINISH: FINISH_TIMEOUT_S,
    }.get(target, DEFAULT_TARGET_S)
    within = _check_number(label, fields, "within", default, 86400.0, findings)
    share = _check_number(
        label, fields, "share", DEFAULT_TARGET_SHARE, 0.99999, findings
    )
    key_required = fields.get("key_required", False)
    if not isinstance(key_required, bool):
        findings.append("%s: key_required must be yes or no." % label)
    return WorkClass(name, target, within, share, key_required)


def _check_number(label, fields, name, default, maximum, findings):
    value = fields.get(name, default)
    is_number = isinstance(value, (int, float))
    if is_number and not isinstance(value, bool) and 0.0 <= value <= maximum:
        return float(value)
    findings.append("%s: %s must be from 0.0 to %s." % (label, name, maximum))
    return default
