"""Decorator for commands whose arguments Fire must not interpret.

Fire parses arguments as Python literals: a request id such as
1764830000000.1234 would become a float and lose digits.
"""

from collections.abc import Callable
from typing import Any, TypeVar, cast

from fire.decorators import SetParseFn

_Command = TypeVar('_Command', bound=Callable[..., Any])


def text_arguments(command: _Command) -> _Command:
    """Make Fire pass all arguments of ``command`` as strings."""
    return cast(_Command, SetParseFn(str)(command))
