"""What a session has defined for itself."""

from typing import final

import attrs

from mimosapond.statements.statement import Shape


@final
@attrs.define
class Definitions:
    """Session values and prepared names, as acknowledged to the caller."""

    values: dict[str, str] = attrs.field(factory=dict)
    prepared_shapes: dict[str, Shape] = attrs.field(factory=dict)
