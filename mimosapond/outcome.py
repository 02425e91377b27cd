"""Type of the answer to a request: one of three tagged outcomes."""

from typing import TypeAlias

from mimosapond.completed import Completed
from mimosapond.refused import Refused
from mimosapond.unknown import Unknown

Outcome: TypeAlias = Completed | Refused | Unknown
