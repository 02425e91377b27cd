"""Property test of quotas with Hypothesis."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from features.quota_model import ModelEvent, run_model

_LASTS_S = 14.0
_KINDS = ('cut', 'freeze', 'kill', 'restart', 'lists', 'loss', 'quota')
_EVENTS = st.builds(
    ModelEvent,
    st.sampled_from(_KINDS),
    st.integers(30, 100).map(lambda tenths: tenths / 10),
    st.integers(1, 40).map(lambda tenths: tenths / 10),
    st.integers(0, 8),
)


@seed(1)
@settings(max_examples=25, deadline=None, database=None)
@given(
    st.integers(0, 1000),
    st.sampled_from((5, 20, 100)),
    st.sampled_from((1, 2, 7)),
    st.lists(_EVENTS, max_size=3),
)
def check_histories(
    network_seed: int, rate: int, demand: int, events: list[ModelEvent]
) -> None:
    """Check every window of a run with random events."""
    run = run_model(network_seed, rate, demand, events, _LASTS_S)
    used_ratio = run.used_ratio()
    assert used_ratio <= 1, (used_ratio, events)
