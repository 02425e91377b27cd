"""Runs behave and computes the exit code from behave's JSON report.

Known failures are listed in KNOWN-RED.txt, one scenario per entry on a line
that starts with ``scenario:``. They are run, printed and counted as skipped;
any other scenario that does not pass fails the run.
"""

import collections
import json
import pathlib
import sys
import tempfile
from collections.abc import Iterator
from typing import Any, Final

from behave.__main__ import main as run_behave
from loguru import logger

_KNOWN_FAILURES_PATH: Final = pathlib.Path('KNOWN-RED.txt')
_SCENARIO_PREFIX: Final = 'scenario:'
_NON_FAILING_STATUSES: Final = ('passed', 'skipped', 'untested', None)
_SCENARIO_TYPES: Final = ('scenario', 'scenario_outline')


def _known_failures() -> frozenset[str]:
    if not _KNOWN_FAILURES_PATH.exists():
        return frozenset()
    lines = _KNOWN_FAILURES_PATH.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(_SCENARIO_PREFIX).strip()
        for line in lines
        if line.startswith(_SCENARIO_PREFIX)
    )


def _scenarios(report: list[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    for feature in report:
        for element in feature.get('elements', ()):
            if element['type'] in _SCENARIO_TYPES:
                yield element


def _print_causes(scenario: dict[str, Any]) -> None:
    """Print the failed steps, because a rerun may not reproduce them."""
    for step in scenario.get('steps', ()):
        found = step.get('result', {})
        if found.get('status') not in _NON_FAILING_STATUSES:
            message = found.get('error_message', '')
            lines = [message] if isinstance(message, str) else message
            text = '\n'.join(lines)
            sys.stdout.write(f'  {step["name"]}\n{text}\n')


def _report_exit_code(report: list[dict[str, Any]]) -> int:
    known = _known_failures()
    counts: collections.Counter[str] = collections.Counter()
    for scenario in _scenarios(report):
        # A scenario from an unnamed Examples table has a name that ends in a
        # space.
        name, status = scenario['name'].strip(), scenario['status']
        if status == 'passed' or status == 'skipped':
            counts[status] += 1
        elif name in known:
            sys.stdout.write(f'known failure ({status}): {name}\n')
            counts['skipped'] += 1
        else:
            sys.stdout.write(f'{status}: {name}\n')
            _print_causes(scenario)
            counts['failed'] += 1
    passed, failed = counts['passed'], counts['failed']
    skipped = counts['skipped']
    sys.stdout.write(f'{passed} passed, {failed} failed, {skipped} skipped\n')
    return int(failed > 0 or passed == 0)


def main(arguments: list[str]) -> int:
    """Run the features and return the exit code.

    Parameters
    ----------
    arguments
        Arguments for behave; without any, all features are run.

    Returns
    -------
    int
        0 if at least one scenario passed and none failed, except for known
        failures, otherwise 1.
    """
    # Log lines of the tested code would hide those of the report.
    logger.remove()
    with tempfile.TemporaryDirectory() as folder:
        report_path = pathlib.Path(folder) / 'report.json'
        behave_code = run_behave(
            [
                *('--format', 'json', '--outfile', str(report_path)),
                *('--format', 'progress', '--no-capture', '--no-color'),
                *(arguments or ['features']),
            ]
        )
        report = json.loads(report_path.read_text(encoding='utf-8') or '[]')
    code = _report_exit_code(report)
    if behave_code and not code and not _known_failures():
        sys.stdout.write('behave failed outside of scenarios\n')
        return 1
    return code


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
