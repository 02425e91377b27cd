"""Reads the logs that are left after a run from the members."""

import asyncio
import time
from collections.abc import Mapping
from typing import Any, Final, final

from loadtool.deployment import Deployment
from loadtool.proof_processes import ProofProcesses
from loadtool.surviving_log import SurvivingLog, parse_log
from loadtool.violation import Rule, Violation
from mimosapond.group_spec import GroupSpec

_CATCH_UP_LIMIT_S: Final = 15
_POLL_S: Final = 0.1
_PRIMARY_ROLE: Final = 'primary'


@final
class LogReader:
    """Waits until the members of each group agree.

    Attributes
    ----------
    reports
        Last answer of each running member.
    """

    def __init__(
        self,
        deployment: Deployment,
        processes: ProofProcesses,
    ) -> None:
        """Read from the members that run."""
        self._deployment = deployment
        self._processes = processes
        self.reports: list[Mapping[str, Any]] = []
        self.violations: list[Violation] = []

    async def read(self) -> dict[str, SurvivingLog]:
        """Return the log of the primary of each group."""
        return {
            group.name: await self._read_group(group)
            for group in self._deployment.groups
        }

    async def _read_group(self, group: GroupSpec) -> SurvivingLog:
        reports = await self._await_equal(group)
        self.reports.extend(reports)
        if not _are_equal(reports):
            self.violations.append(Violation(Rule.DIVERGED, group.name))
        primary = max(reports, key=_rank)
        return parse_log(group.name, primary['entries'])

    async def _await_equal(self, group: GroupSpec) -> list[Mapping[str, Any]]:
        limit_s = time.monotonic() + _CATCH_UP_LIMIT_S
        while True:
            reports = [
                await self._deployment.member_log(member.name)
                for member in group.members
                if self._processes.is_running(member.name)
            ]
            if _are_equal(reports) or time.monotonic() > limit_s:
                return reports
            await asyncio.sleep(_POLL_S)


def _rank(report: Mapping[str, Any]) -> tuple[bool, int]:
    standing = report['standing']
    return standing['role'] == _PRIMARY_ROLE, standing['term']


def _are_equal(reports: list[Mapping[str, Any]]) -> bool:
    return all(one['entries'] == reports[0]['entries'] for one in reports)
