"""Base class of value objects: events, effects, messages, timers."""


class Struct:
    """A value object whose fields are the names in ``__slots__``.

    Fields are passed by position or by keyword; an omitted field gets
    its value from ``DEFAULTS`` of the class. Raises TypeError if a field
    without a default is missing or if there are surplus arguments.

    >>> class Point(Struct):
    ...     __slots__ = ("x", "y")
    ...     DEFAULTS = {"y": 0}
    >>> Point(3)
    Point(x=3, y=0)
    >>> Point(x=1, y=2) == Point(1, 2)
    True
    """

    __slots__ = ()
    DEFAULTS = {}

    def __init__(self, *args, **kwargs):
        names = self.__slots__
        for name, value in zip(names, args):
            setattr(self, name, value)
        for name in names[len(args) :]:
            if name in kwargs:
                setattr(self, name, kwargs.pop(name))
            elif name in self.DEFAULTS:
                setattr(self, name, self.DEFAULTS[name])
            else:
                raise TypeError(
                    "%s needs the field %s" % (type(self).__name__, name)
                )
        if kwargs or len(args) > len(names):
            raise TypeError("%s got unknown fields" % type(self).__name__)

    def __eq__(self, other):
        if type(other) is not type(self):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
        )

    def __hash__(self):
        return hash(tuple(getattr(self, name) for name in self.__slots__))

    def __repr__(self):
        fields = ", ".join(
            "%s=%r" % (name, getattr(self, name)) for name in self.__slots__
        )
        return "%s(%s)" % (type(self).__name__, fields)
