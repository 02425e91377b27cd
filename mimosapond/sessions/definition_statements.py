"""Statements that a host answers by itself: values and prepared statements."""

from mimosapond.routing import failures
from mimosapond.routing.session_definitions import SessionDefinitions
from mimosapond.statements.reply import Failure, FailureKind, Reply, Success
from mimosapond.statements.statement import (
    Deallocate,
    DirectStatement,
    Execute,
    MalformedStatement,
    Prepare,
    SetValue,
    Statement,
)


def apply_definition(
    definitions: SessionDefinitions, statement: Statement
) -> Reply:
    """Change the definitions of a session as a statement says."""
    match statement:
        case SetValue(name=name, value=value):
            definitions.values[name] = value
        case Prepare(name=name, shape=shape):
            definitions.prepared_shapes[name] = shape
        case Deallocate(name=name):
            if definitions.prepared_shapes.pop(name, None) is None:
                return failures.NO_SUCH_STATEMENT
        case MalformedStatement(problem=problem):
            return Failure(FailureKind.malformed, problem)
    return Success()


def is_read(definitions: SessionDefinitions, statement: Statement) -> bool:
    """Return whether members run a statement and it does not write."""
    match statement:
        case DirectStatement(is_write=is_write):
            return not is_write
        case Execute(name=name):
            shape = definitions.prepared_shapes.get(name)
            return shape is not None and not shape.is_write
        case _:
            return False
