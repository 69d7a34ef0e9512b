"""Exit codes of the operator's program."""

DONE = 0
DIFFERS = 1  # a target is missed, or files differ
BAD_INPUT = 2
OUT_OF_REACH = 3  # no node or no log answered
LOST_RACE = 4  # somebody else changed the same service first
NOT_KNOWN = 5  # not seen in force everywhere in time
