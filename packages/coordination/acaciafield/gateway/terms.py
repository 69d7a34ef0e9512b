"""The operator's bounds, as the platform's settings state them."""

from acaciafield import structs


class Terms(structs.Struct):
    """The operator's limits on repeats, the floor, keys and quotas.

    ``window`` is in seconds. ``floor`` is the share of the healthy workers
    of a service that must stay in use. With ``strict_revocation``, no
    request may run with a key that was removed more than ``revoke_bound``
    seconds before it was sent; ``config_bound`` is the time in seconds in
    which a configuration takes effect. In any ``quota_window`` seconds, a
    workspace may exceed its quota by the share ``quota_overage`` and by
    ``quota_slack`` requests.
    """

    __slots__ = (
        "ratio",
        "slack",
        "window",
        "floor",
        "strict_revocation",
        "revoke_bound",
        "config_bound",
        "quota_window",
        "quota_overage",
        "quota_slack",
    )
    DEFAULTS = {
        "strict_revocation": False,
        "revoke_bound": 5.0,
        "config_bound": 2.5,
        "quota_window": 5.0,
        "quota_overage": 0.1,
        "quota_slack": 20.0,
    }
