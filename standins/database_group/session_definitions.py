"""Session values and prepared names of a connection."""

from typing import final

from standins.database_group.statement_result import MALFORMED, Done, Result

_ACCESS = frozenset(('READ', 'WRITE'))


@final
class SessionDefinitions:
    """What a caller defined on a connection."""

    def __init__(self) -> None:
        """Start without any."""
        self.values: dict[str, str] = {}
        self.shapes: dict[str, str] = {}

    def run(self, word: str, rest: str) -> Result:
        """Run ``SET``, ``PARSE``, ``CLOSE`` or ``DISCARD``."""
        name, _, content = rest.partition(' ')
        match word:
            case 'SET' if name and content:
                self.values[name] = content
            case 'PARSE' if name not in self.shapes and _is_shape(content):
                self.shapes[name] = content
            case 'CLOSE' if name:
                self.shapes.pop(name, None)
            case 'DISCARD' if not rest:
                self.values.clear()
                self.shapes.clear()
            case _:
                return MALFORMED
        return Done()


def _is_shape(content: str) -> bool:
    access, _, shape = content.partition(' ')
    return access in _ACCESS and bool(shape)
