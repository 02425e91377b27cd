"""Memory of the values and prepared statements that sessions keep."""

import sys
from typing import Final, TypeAlias, final

from mimosapond.entry.byte_budget import ByteBudget
from mimosapond.statements.statement import (
    Deallocate,
    Prepare,
    SetValue,
    Statement,
)

_Key: TypeAlias = tuple[type[Statement], str]

# Objects and entries of the tables of one definition.
_ENTRY_BYTES: Final = 300


@final
class DefinitionShare:
    """Counts what one session keeps against the budget of the host."""

    def __init__(self, budget: ByteBudget) -> None:
        """Start with nothing kept."""
        self._budget = budget
        self._sizes: dict[_Key, int] = {}

    def admit(self, statement: Statement) -> bool:
        """Count what a statement defines or removes.

        Returns
        -------
        bool
            False if there is no memory for it; nothing is counted then.
        """
        match statement:
            case SetValue(name=name, value=text):
                return self._keep((SetValue, name), text)
            case Prepare(name=name, shape=shape):
                return self._keep((Prepare, name), shape.text)
            case Deallocate(name=name):
                self._budget.give_back(self._sizes.pop((Prepare, name), 0))
        return True

    def release(self) -> None:
        """Stop counting, as the session has ended."""
        self._budget.give_back(sum(self._sizes.values()))
        self._sizes.clear()

    def _keep(self, key: _Key, text: str) -> bool:
        size_bytes = sys.getsizeof(text) + sys.getsizeof(key[1]) + _ENTRY_BYTES
        added_bytes = size_bytes - self._sizes.get(key, 0)
        if added_bytes > 0 and not self._budget.try_take(added_bytes):
            return False
        if added_bytes < 0:
            self._budget.give_back(-added_bytes)
        self._sizes[key] = size_bytes
        return True
