"""Session values and prepared statements that a session has defined."""

from typing import final

import attrs

from mimosapond.statements.statement import Shape


@final
@attrs.define
class SessionDefinitions:
    """Session state that connections must have to run its statements.

    Only definitions that were acknowledged to the caller are included.

    Parameters
    ----------
    values
        Session values by name.
    prepared_shapes
        Shapes of the prepared statements, by the name that the caller gave.
    """

    values: dict[str, str] = attrs.field(factory=dict)
    prepared_shapes: dict[str, Shape] = attrs.field(factory=dict)
