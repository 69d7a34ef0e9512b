"""Limits on the bytes of a worker's answer that are not its body.

A faulty worker may send heads, fields, chunk sizes or trailers without end.
Flow control covers the body only, so all other bytes are counted here.
"""

import enum

from acaciafield import structs

MAX_HEAD_BYTES = 65536  # of all heads up to the end of the final one
MAX_INTERIM_HEADS = 32  # "100 Continue", "103 Early Hints" and the like
MAX_FRAMING_BYTES = 65536  # sizes and extensions of chunks, and trailers
# Bytes of framing for each byte of the body. Chunks of one byte need 5.
MAX_FRAMING_RATIO = 5


class AnswerLimit(enum.Enum):
    """A limit that an answer has exceeded."""

    HEAD = "head"
    INTERIM_HEADS = "interim-heads"
    FRAMING = "framing"


class AnswerSize(structs.Struct):
    """The bytes that one connection has received for an answer.

    ``head_bytes`` counts all bytes up to the final head, ``interim_heads``
    the heads before it, ``later_bytes`` what came after it.
    """

    __slots__ = ("head_bytes", "interim_heads", "later_bytes")
    DEFAULTS = {"head_bytes": 0, "interim_heads": 0, "later_bytes": 0}

    @property
    def head_room(self):
        """The number of bytes that the heads may still take."""
        return MAX_HEAD_BYTES - self.head_bytes

    @property
    def may_have_final_head(self):
        """Whether few enough interim heads have arrived."""
        return self.interim_heads <= MAX_INTERIM_HEADS

    def find_exceeded(self, has_final_head, body_bytes):
        """Return the AnswerLimit that is exceeded, or None.

        ``body_bytes`` is the size of the body received so far.

        >>> AnswerSize(later_bytes=600_000).find_exceeded(True, 599_000)
        >>> AnswerSize(later_bytes=600_000).find_exceeded(True, 1)
        <AnswerLimit.FRAMING: 'framing'>
        >>> AnswerSize(head_bytes=MAX_HEAD_BYTES).find_exceeded(False, 0)
        <AnswerLimit.HEAD: 'head'>
        """
        if not self.may_have_final_head:
            return AnswerLimit.INTERIM_HEADS
        if not has_final_head:
            return AnswerLimit.HEAD if self.head_room <= 0 else None
        max_framing = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * body_bytes
        if self.later_bytes - body_bytes > max_framing:
            return AnswerLimit.FRAMING
        return None
