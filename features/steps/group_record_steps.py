"""Steps of platform_store.feature for the records of groups."""

from typing import Any, Final

import attrs
from behave import then, when

from mimosapond.failover.claim_port import DutyClaim
from mimosapond.groups.member_process import MemberProcess

_TERM: Final = 2


@when('host {host} reads the record')
def read(context: Any, host: str) -> None:
    """Keep the record that the host reads."""
    context.found_record = context.loop.run_until_complete(
        context.claims[host].read_record(context.group_name)
    )


@when('host {host} records the witnesses {names} in what it read')
def record_in_found(context: Any, host: str, names: str) -> None:
    """Write witnesses to the row as it was read."""
    found = context.found_record
    record = attrs.evolve(found.record, witnesses=_processes(names))
    context.is_recorded = context.loop.run_until_complete(
        context.claims[host].replace_record(context.group_name, found, record)
    )


@when('host {host} records the witnesses {names}')
def record(context: Any, host: str, names: str) -> None:
    """Read the record, and write witnesses to it."""
    kept = getattr(context, 'found_record', None)
    read(context, host)
    record_in_found(context, host, names)
    context.found_record = kept


@when('host {host} withdraws the lead of its last claim')
def withdraw(context: Any, host: str) -> None:
    """Let m9 lead on in place of the lead that came with the claim."""
    held = [each for each in context.outcomes if isinstance(each, DutyClaim)]
    known = held[-1].lead
    context.loop.run_until_complete(
        context.claims[host].settle_lead(
            context.group_name, known, known.of('m9', _TERM)
        )
    )


@when('host {host} records a call for {member}')
def record_call(context: Any, host: str, member: str) -> None:
    """Record a call under the last claim that was held."""
    held = [each for each in context.outcomes if isinstance(each, DutyClaim)]
    context.loop.run_until_complete(
        context.claims[host].record_call(context.group_name, held[-1], member)
    )


@then('the calls in the record name {names}')
def check_calls(context: Any, names: str) -> None:
    """Compare the calls that were read last."""
    found = ','.join(context.found_record.record.called_ids) or 'nobody'
    assert found == names, found


@then('the last claim has the witnesses {names}')
def check_witnesses(context: Any, names: str) -> None:
    """Compare the witnesses that came with the claim."""
    found = context.outcomes[-1]
    assert found.witnesses == _processes(names), found


@then('the witnesses are {result}')
def check_recorded(context: Any, result: str) -> None:
    """Compare the result of the last write of witnesses."""
    assert context.is_recorded == (result == 'recorded')


@then('the lead in the record is {result}')
def check_withdrawn(context: Any, result: str) -> None:
    """Read whether the recorded lead was withdrawn."""
    read(context, 'a')
    leader_id = context.found_record.record.lead.member_id
    assert (leader_id == 'm9') == (result == 'withdrawn')


def _processes(names: str) -> frozenset[MemberProcess]:
    return frozenset(MemberProcess(name, 5) for name in names.split(','))
