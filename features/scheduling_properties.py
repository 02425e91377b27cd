"""Property tests of the scheduler with Hypothesis."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from features.scheduling_model import ModelWork, SchedulingModel

# Eighths of a second add up without rounding errors, so the model and the
# scheduler agree on whether a deadline has passed.
_EIGHTHS = st.integers(1, 200).map(lambda count: count / 8)
_ARRIVALS = st.tuples(
    st.just('arrive'),
    st.integers(0, 2),
    _EIGHTHS,
    st.sampled_from('abc'),
    st.booleans(),
    st.integers(1, 80).map(lambda count: count / 8),
    st.integers(0, 5).map(lambda number: number == 0),
)
_OTHERS = st.tuples(
    st.sampled_from(('advance', 'cancel', 'unpark')),
    st.integers(0, 40),
)
_SEQUENCES = st.lists(st.one_of(_ARRIVALS, _ARRIVALS, _OTHERS), max_size=60)


def _step(model: SchedulingModel, number: int, operation: Any) -> None:
    match operation:
        case (
            'arrive',
            rank,
            left_s,
            workspace,
            is_long,
            duration_s,
            keeps_connection,
        ):
            work = ModelWork(
                str(number),
                rank,
                model.now_s + left_s,
                workspace,
                is_long,
                duration_s,
                model.now_s,
                keeps_connection,
            )
            model.arrive(work)
        case ('advance', eighths):
            model.advance(model.now_s + eighths / 8)
        case ('cancel', index):
            works = [*model.waiting.values(), *model.running.values()]
            if works:
                model.cancel(works[index % len(works)])
        case _:
            model.unpark()


def _check_drained(model: SchedulingModel) -> None:
    """Check that no work is left after all deadlines and durations."""
    model.advance(model.now_s + 1000)
    while model.parked:
        model.unpark()
        model.advance(model.now_s + 1000)
    capacity = model.scheduler.capacity
    assert not model.waiting and not model.running
    assert not model.scheduler.queue_length_count
    assert not (capacity.running_count or capacity.long_count)
    assert not (capacity.held_count or capacity.keeping_count)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(1, 3), st.sampled_from((1, 4, 7, 16)), _SEQUENCES)
def check_random_operations(
    slot_count: int, connection_limit_count: int, operations: list[Any]
) -> None:
    """Compare each decision in random sequences with the model."""
    model = SchedulingModel(slot_count, connection_limit_count)
    for number, operation in enumerate(operations):
        _step(model, number, operation)
    _check_drained(model)


@settings(derandomize=True, max_examples=40, deadline=None)
@given(
    st.integers(1, 3),
    st.booleans(),
    st.lists(st.integers(1, 16), min_size=1, max_size=8),
)
def check_starvation(
    slot_count: int, is_long: bool, eighths: list[int]
) -> None:
    """Check that batch work starts although urgent work always waits."""
    model = SchedulingModel(slot_count, 100)
    names = iter(range(1, 10_000))
    batch = ModelWork('0', 2, model.now_s + 500, 'batch', is_long, 1, 1000)
    for _ in range(slot_count):
        model.arrive(_build_urgent(model, next(names), 1))
    model.arrive(batch)
    while batch.name not in model.started and model.now_s < 1030:
        while len(model.waiting) < slot_count + 2:
            number = next(names)
            duration_s = eighths[number % len(eighths)] / 8
            model.arrive(_build_urgent(model, number, duration_s))
        model.advance(model.now_s + 1 / 8)
    # Two aging steps raise the batch work to urgent. It then gets the next free
    # slot.
    assert batch.name in model.started, 'batch work did not start'
    assert model.now_s <= 1000 + 20 + 2 + 1, model.now_s


def _build_urgent(
    model: SchedulingModel, number: int, duration_s: float
) -> ModelWork:
    workspace = f'urgent-{number}'
    deadline_s = model.now_s + 5
    return ModelWork(
        str(number), 0, deadline_s, workspace, False, duration_s, model.now_s
    )
