"""Decodes the statements of callers and encodes PARSE for members."""

from typing import Final

from mimosapond.statements.statement import (
    Begin,
    Commit,
    DirectStatement,
    Execute,
    Deallocate,
    Prepare,
    Rollback,
    SetValue,
    Shape,
    Statement,
    MalformedStatement,
)

_READ: Final = 'READ'
_WRITE: Final = 'WRITE'
_ACCESS_MODES: Final = (_READ, _WRITE)
_PREPARE_FIELD_COUNT: Final = 3


def decode_statement(text: str) -> Statement:
    """Return the statement; MalformedStatement if ``text`` is not valid."""
    word, _, rest = text.partition(' ')
    match word:
        case 'READ' | 'WRITE':
            return _decode_direct(text, word, rest)
        case 'EXECUTE':
            return _decode_execute(rest)
        case 'BEGIN':
            return _decode_begin(rest)
        case 'COMMIT' if not rest:
            return Commit()
        case 'ROLLBACK' if not rest:
            return Rollback()
        case _:
            return _decode_definition(word, rest)


def _decode_definition(word: str, rest: str) -> Statement:
    match word:
        case 'SET':
            return _decode_set_value(rest)
        case 'PARSE':
            return _decode_prepare(rest)
        case 'CLOSE':
            return (
                Deallocate(rest)
                if rest
                else MalformedStatement(
                    'the name of the prepared statement is missing'
                )
            )
        case _:
            return MalformedStatement('unknown statement')


def encode_prepare(name: str, shape: Shape) -> str:
    """Return the PARSE text that defines a prepared statement."""
    access = _WRITE if shape.is_write else _READ
    return f'PARSE {name} {access} {shape.text}'


def _decode_begin(rest: str) -> Statement:
    if rest not in {'', _READ}:
        return MalformedStatement('unknown transaction mode')
    return Begin(is_read_only=rest == _READ)


def _decode_direct(text: str, word: str, rest: str) -> Statement:
    item, separator, content = rest.partition(' ')
    if not item or (word == _WRITE and not (separator and content)):
        return MalformedStatement('a field is missing')
    return DirectStatement(text, is_write=word == _WRITE)


def _decode_execute(rest: str) -> Statement:
    name, _, arguments = rest.partition(' ')
    if not name or not arguments:
        return MalformedStatement('a field is missing')
    return Execute(name, arguments)


def _decode_set_value(rest: str) -> Statement:
    name, separator, value = rest.partition(' ')
    if not name or not separator:
        return MalformedStatement('a field is missing')
    return SetValue(name, value)


def _decode_prepare(rest: str) -> Statement:
    fields = rest.split(' ', _PREPARE_FIELD_COUNT - 1)
    if len(fields) != _PREPARE_FIELD_COUNT or fields[1] not in _ACCESS_MODES:
        return MalformedStatement(
            'PARSE needs a name, READ or WRITE, and a shape'
        )
    return Prepare(fields[0], Shape(fields[2], is_write=fields[1] == _WRITE))
