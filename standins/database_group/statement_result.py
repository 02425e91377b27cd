"""Results of statements and their lines on the wire."""

from typing import Final, TypeAlias, final

import attrs

NO_SIGNATURE: Final = '-'


@final
@attrs.frozen
class Done:
    """The statement succeeded."""

    rows: tuple[str, ...] = ()
    signature: str = NO_SIGNATURE


@final
@attrs.frozen
class Refusal:
    """The statement failed or did not run."""

    code: str
    text: str


Result: TypeAlias = Done | Refusal

MALFORMED: Final = Refusal('MALFORMED', 'the statement is not allowed here')


def result_lines(result: Result) -> tuple[str, ...]:
    """Return the lines of an answer without the last one."""
    match result:
        case Done(rows=rows, signature=signature):
            data_rows = (f'DATAROW {row}' for row in rows)
            return (*data_rows, f'COMPLETE {signature}')
        case Refusal(code=code, text=text):
            return (f'ERROR {code} {text}',)
