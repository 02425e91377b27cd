"""Session values and prepared statements of a connection."""

from typing import final

from standins.database_group.statement_result import MALFORMED, Done, Result

_ACCESS = frozenset(('READ', 'WRITE'))


@final
class SessionDefinitions:
    """Session values and prepared statements by name."""

    def __init__(self) -> None:
        """Start without definitions."""
        self.values: dict[str, str] = {}
        self.prepared_statements: dict[str, str] = {}

    def run(self, word: str, rest: str) -> Result:
        """Run ``SET``, ``PARSE``, ``CLOSE`` or ``DISCARD``."""
        name, _, content = rest.partition(' ')
        match word:
            case 'SET' if name and content:
                self.values[name] = content
            case 'PARSE' if (
                name not in self.prepared_statements and _is_preparable(content)
            ):
                self.prepared_statements[name] = content
            case 'CLOSE' if name:
                self.prepared_statements.pop(name, None)
            case 'DISCARD' if not rest:
                self.values.clear()
                self.prepared_statements.clear()
            case _:
                return MALFORMED
        return Done()


def _is_preparable(content: str) -> bool:
    access, _, template = content.partition(' ')
    return access in _ACCESS and bool(template)
