"""Exit codes of the operator's program."""

SUCCESS = 0
MISMATCH = 1  # a target is missed, files differ, or the status has problems
BAD_INPUT = 2
UNREACHABLE = 3  # no node or no log answered
CONFLICT = 4  # another operator changed the same service first
UNCONFIRMED = 5  # not seen in force everywhere in time
