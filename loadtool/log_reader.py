"""Reads the database logs from the members after a run."""

import asyncio
import time
from collections.abc import Mapping
from typing import Any, Final, final

from loadtool.deployment import Deployment
from loadtool.process_fault_injector import ProcessFaultInjector
from loadtool.surviving_log import SurvivingLog, parse_log
from loadtool.violation import Rule, Violation
from mimosapond.group_spec import GroupSpec

_CATCH_UP_TIMEOUT_S: Final = 15
_POLL_INTERVAL_S: Final = 0.1
_PRIMARY_ROLE: Final = 'primary'


@final
class LogReader:
    """Reads the logs once the members of each group have equal ones.

    Attributes
    ----------
    reports
        Last log report of each running member.
    violations
        One violation for each group whose members kept different logs.
    """

    def __init__(
        self,
        deployment: Deployment,
        processes: ProcessFaultInjector,
    ) -> None:
        """Read from the members that ``processes`` reports as running."""
        self._deployment = deployment
        self._processes = processes
        self.reports: list[Mapping[str, Any]] = []
        self.violations: list[Violation] = []

    async def read(self) -> dict[str, SurvivingLog]:
        """Return the log of each group's primary, by group."""
        return {
            group.name: await self._read_group(group)
            for group in self._deployment.groups
        }

    async def _read_group(self, group: GroupSpec) -> SurvivingLog:
        reports = await self._await_equal(group)
        self.reports.extend(reports)
        if not _are_equal(reports):
            self.violations.append(Violation(Rule.DIVERGED, group.name))
        primary = max(reports, key=_primary_rank)
        return parse_log(group.name, primary['entries'])

    async def _await_equal(self, group: GroupSpec) -> list[Mapping[str, Any]]:
        deadline_s = time.monotonic() + _CATCH_UP_TIMEOUT_S
        while True:
            reports = [
                await self._deployment.member_log(member.name)
                for member in group.members
                if self._processes.is_running(member.name)
            ]
            if _are_equal(reports) or time.monotonic() > deadline_s:
                return reports
            await asyncio.sleep(_POLL_INTERVAL_S)


def _primary_rank(report: Mapping[str, Any]) -> tuple[bool, int]:
    standing = report['standing']
    return standing['role'] == _PRIMARY_ROLE, standing['term']


def _are_equal(reports: list[Mapping[str, Any]]) -> bool:
    return all(report['entries'] == reports[0]['entries'] for report in reports)
