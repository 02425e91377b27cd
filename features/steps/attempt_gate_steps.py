"""Steps of attempt_gate.feature."""

from typing import Any, Final

from behave import given, then, when

from mimosapond.attempt_gate import AttemptGate

_GROUP: Final = 'forge-a'
_MS_PER_S: Final = 1000


class SteppedClock:
    """Clock that advances only when a test advances it."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.now_s: float = 1000

    def monotonic_s(self) -> float:
        """Return the current time."""
        return self.now_s

    def unix_ms(self) -> int:
        """Return the current time."""
        return int(self.now_s * _MS_PER_S)

    async def sleep(self, delay_s: float) -> None:
        """Advance the clock without waiting."""
        self.now_s += delay_s


@given('an attempt gate after a failed attempt at term {term:d}')
def build_gate(context: Any, term: int) -> None:
    """Build a gate with one hold."""
    context.clock = SteppedClock()
    context.gate = AttemptGate(context.clock)
    context.gate.hold(_GROUP, term)


@when('{count:d} more attempts at term {term:d} fail at the attempt gate')
def fail_more(context: Any, count: int, term: int) -> None:
    """Report failures at the same time."""
    for _ in range(count):
        context.gate.hold(_GROUP, term)


@when('an attempt succeeds at the attempt gate')
def succeed(context: Any) -> None:
    """Report a success."""
    context.gate.open(_GROUP)


@when(
    'the attempt gate is asked every {step:d} ms for {duration:d} s about '
    'term {term:d}',
)
def ask_often(context: Any, step: int, duration: int, term: int) -> None:
    """Count the attempts that pass."""
    context.passed_count = 0
    for _ in range(duration * _MS_PER_S // step):
        context.clock.now_s += step / _MS_PER_S
        context.passed_count += not context.gate.is_held(_GROUP, term)


@then('the attempt gate lets {least:d} to {most:d} attempts pass')
def check_passed(context: Any, least: int, most: int) -> None:
    """Compare the number of attempts that passed."""
    assert least <= context.passed_count <= most, context.passed_count
